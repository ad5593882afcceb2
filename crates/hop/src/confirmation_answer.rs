use std::time::Duration;

use medlarspool_mesh::{PeerConfirmation, StoreEra, StorePosition, StoredConfig};
use prost::Message;

use crate::report_message::{ConfirmationAnswerMessage, ReportMessage};

/// The answer to a [`crate::ConfirmationQuestion`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmationAnswer {
    /// What the daemon says of its own confirmation.
    pub confirmation: PeerConfirmation,
    /// The number of the question.
    pub nonce: u64,
}

impl ConfirmationAnswer {
    /// Encodes the answer as a datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let PeerConfirmation { age, stored } = self.confirmation;
        // Rounded up, since an age must not become less on the way.
        let age_ms = age.as_micros().div_ceil(1_000);
        let answer = ConfirmationAnswerMessage {
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
            nonce: self.nonce,
            store_era: stored.position.era.0,
            store_version: stored.position.version,
            version: stored.version,
        };
        ReportMessage {
            confirmation_answer: Some(answer),
            ..ReportMessage::default()
        }
        .encode_to_vec()
    }

    pub(crate) fn decode(message: &ConfirmationAnswerMessage) -> Self {
        Self {
            confirmation: PeerConfirmation {
                age: Duration::from_millis(message.age_ms),
                stored: StoredConfig {
                    position: StorePosition {
                        era: StoreEra(message.store_era),
                        version: message.store_version,
                    },
                    version: message.version,
                },
            },
            nonce: message.nonce,
        }
    }
}
