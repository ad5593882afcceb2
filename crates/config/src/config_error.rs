use displaydoc::Display;
use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion, CustomerId, PlanId, ServiceName};

use crate::EntryKey;

/// Why lists, a snapshot or a delta were refused; nothing is taken over from what was refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConfigError {
    /// the delta starts from version `{needed}` but version `{held}` is held
    Base {
        /// The version that is held.
        held: ConfigVersion,
        /// The version that the delta starts from.
        needed: ConfigVersion,
    },
    /// the delta starts from other lists of version `{version}` than the ones held
    BaseDigest {
        /// The version that both claim.
        version: ConfigVersion,
    },
    /// `{value}` is not a SHA-256 hash of 64 lower-case hexadecimal digits
    CredentialHash {
        /// The refused text.
        value: String,
    },
    /// the encoding is damaged: `{reason}`
    Decode {
        /// What did not fit.
        reason: String,
    },
    /// the lists have digest `{found}`, which is not that of `{head:?}`
    Digest {
        /// The digest found.
        found: ConfigDigest,
        /// The head that was asked for.
        head: ConfigHead,
    },
    /// {0} is listed twice
    Duplicate(EntryKey),
    /// customers `{first}` and `{second}` have the same `credential_sha256`
    DuplicateCredential {
        /// The customer that is listed first.
        first: CustomerId,
        /// The customer that is listed later.
        second: CustomerId,
    },
    /// plan `{plan}` names service `{service}` twice
    DuplicateUse {
        /// The plan.
        plan: PlanId,
        /// The service.
        service: ServiceName,
    },
    /// {list}: line {line}: field `{field}`: {reason}
    Field {
        /// The field, or the list when the fault is in none.
        field: String,
        /// The line in the list, from 1.
        line: u64,
        /// The list's name.
        list: String,
        /// What is wrong, with the value in backticks.
        reason: String,
    },
    /// `{field}` is `{value}` but must be from `{least}` to `{most}`
    Limit {
        /// What is bounded, with its unit.
        field: String,
        /// The least value.
        least: u64,
        /// The greatest value.
        most: u64,
        /// The value found.
        value: u64,
    },
    /// {key} names {missing}, which is not listed
    Unknown {
        /// The entry that names it.
        key: EntryKey,
        /// What it names.
        missing: EntryKey,
    },
    /// {list}: line {line}: `{text}`: {reason}
    Yaml {
        /// The line in the list, from 1; 0 where the library gives none.
        line: u64,
        /// The list's name.
        list: String,
        /// What the YAML library found.
        reason: String,
        /// The line itself.
        text: String,
    },
}

impl std::error::Error for ConfigError {}
