use medlarspool_types::ConfigHead;

use crate::DeltaUpdate;

/// A message between daemons about changes; the envelope carries the sender's head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpreadMessage {
    /// Announces the sender's head by the envelope alone.
    ///
    /// A receiver with a newer version answers with an offer or a digest of its own, unless the sender
    /// announced no head.
    Digest {
        /// Whether the receiver sends a digest back in every other case.
        reply_wanted: bool,
    },
    /// Carries consecutive updates, pushed or as the answer to a pull or a digest.
    Offer {
        /// The updates, oldest first.
        updates: Vec<DeltaUpdate>,
    },
    /// Asks for the updates after a version.
    Pull {
        /// The head of the lists that the sender uses.
        base: ConfigHead,
    },
    /// Answers a pull whose updates take more than a few datagrams or are no longer logged; the
    /// receiver requests a transfer from the sender.
    Referral,
}
