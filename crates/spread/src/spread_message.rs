use medlarspool_types::ConfigHead;

use crate::DeltaUpdate;

/// What daemons tell each other about changes; the sender's head rides on the envelope.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpreadMessage {
    /// Shows the sender's head; the receiver answers if it holds another or if asked to.
    Digest {
        /// Whether an answer is wanted even if both hold the same.
        reply_wanted: bool,
    },
    /// Hands on consecutive updates.
    Offer {
        /// The updates, oldest first.
        updates: Vec<DeltaUpdate>,
    },
    /// Asks for the updates after a version.
    Pull {
        /// The version that the sender holds.
        base: ConfigHead,
    },
    /// Answers a pull that needs more than a few datagrams: a transfer shall be asked for.
    Referral,
}
