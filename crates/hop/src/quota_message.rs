use std::time::Duration;

use medlarspool_mesh::{QuotaGrant, QuotaPartition};
use prost::Message;

use crate::report_message::{QuotaGrantMessage, QuotaQuestionMessage, ReportMessage};

/// What an entry and the holder of a partition tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaMessage {
    /// A holder's answer.
    Grant {
        /// The account's name.
        account: String,
        /// What the holder grants.
        grant: QuotaGrant,
        /// The number of the question.
        nonce: u64,
    },
    /// An entry's question for credits.
    Question {
        /// The account's name.
        account: String,
        /// The version of the entry's configuration, from which it knows the account's limit.
        config_version: u64,
        /// A number by which the answer is matched.
        nonce: u64,
        /// The partition that the credits are asked from; none in the question of an earlier release.
        partition: Option<QuotaPartition>,
        /// How many credits the entry has a use for.
        wanted: u32,
    },
}

impl QuotaMessage {
    /// Encodes the message as a datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut message = ReportMessage::default();
        match self {
            Self::Grant {
                account,
                grant,
                nonce,
            } => {
                message.quota_grant = Some(QuotaGrantMessage {
                    account: account.clone(),
                    granted: grant.granted,
                    nonce: *nonce,
                    // Rounded up, so that the entry doesn't ask just before there is a credit.
                    retry_after_ms: u64::try_from(grant.retry_after.as_micros().div_ceil(1_000))
                        .unwrap_or(u64::MAX),
                });
            }
            Self::Question {
                account,
                config_version,
                nonce,
                partition,
                wanted,
            } => {
                message.quota_question = Some(QuotaQuestionMessage {
                    account: account.clone(),
                    config_version: *config_version,
                    nonce: *nonce,
                    partition_and_one: partition.map_or(0, |one| u32::from(one.number()) + 1),
                    wanted: *wanted,
                });
            }
        }
        message.encode_to_vec()
    }

    /// Returns the message that a datagram holds; none if it is of another kind.
    pub(crate) fn of_message(message: &ReportMessage) -> Option<Self> {
        if let Some(grant) = &message.quota_grant {
            return Some(Self::Grant {
                account: grant.account.clone(),
                grant: QuotaGrant {
                    granted: grant.granted,
                    retry_after: Duration::from_millis(grant.retry_after_ms),
                },
                nonce: grant.nonce,
            });
        }
        let question = message.quota_question.as_ref()?;
        Some(Self::Question {
            account: question.account.clone(),
            config_version: question.config_version,
            nonce: question.nonce,
            partition: partition_of(question.partition_and_one),
            wanted: question.wanted,
        })
    }
}

fn partition_of(partition_and_one: u32) -> Option<QuotaPartition> {
    let number = partition_and_one.checked_sub(1)?;
    QuotaPartition::new(u8::try_from(number).ok()?)
}
