use displaydoc::Display;
use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion, CustomerId, PlanId, ServiceName};

use crate::EntryKey;

/// Why lists, a snapshot or a delta were refused; nothing of what was refused is used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConfigError {
    /// the delta starts from version `{needed}` but version `{held}` is held
    Base {
        /// The version of the lists in use.
        held: ConfigVersion,
        /// The version that the delta starts from.
        needed: ConfigVersion,
    },
    /// the delta starts from version `{version}` with another digest than the one held
    BaseDigest {
        /// The version that the delta starts from and that is in use.
        version: ConfigVersion,
    },
    /// `{value}` is not a SHA-256 hash of 64 lower-case hexadecimal digits
    CredentialHash {
        /// The refused text.
        value: String,
    },
    /// the encoding is damaged: `{reason}`
    Decode {
        /// The decoder's description of the fault.
        reason: String,
    },
    /// the lists have digest `{found}`, which does not match the head `{head:?}`
    Digest {
        /// The digest of the lists.
        found: ConfigDigest,
        /// The head that the lists should have.
        head: ConfigHead,
    },
    /// {0} is listed twice
    Duplicate(EntryKey),
    /// customers `{first}` and `{second}` have the same `credential_sha256`
    DuplicateCredential {
        /// The customer with the lower id.
        first: CustomerId,
        /// The customer with the higher id.
        second: CustomerId,
    },
    /// plan `{plan}` names service `{service}` twice
    DuplicateUse {
        /// The plan with the two references.
        plan: PlanId,
        /// The service that the plan names twice.
        service: ServiceName,
    },
    /// {list}: line {line}: field `{field}`: {reason}
    Field {
        /// The field that is wrong.
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
        /// What is limited, with its unit where the name has none.
        field: String,
        /// The least allowed value.
        least: u64,
        /// The greatest allowed value.
        most: u64,
        /// The refused value.
        value: u64,
    },
    /// {key} names {missing}, which is not listed
    Unknown {
        /// The entry with the reference.
        key: EntryKey,
        /// The entry that it refers to.
        missing: EntryKey,
    },
    /// {list}: line {line}: `{text}`: {reason}
    Yaml {
        /// The line in the list, from 1; 0 where the library gives none.
        line: u64,
        /// The list's name.
        list: String,
        /// The fault as the YAML library describes it, without its position.
        reason: String,
        /// The text of the line, shortened if it is long.
        text: String,
    },
}

impl std::error::Error for ConfigError {}
