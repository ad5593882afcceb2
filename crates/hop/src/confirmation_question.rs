use prost::Message;

use crate::report_message::{ConfirmationQuestionMessage, ReportMessage};

/// The question as of when the store said that the receiver's configuration is the newest one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmationQuestion {
    /// A number by which the answer is matched.
    pub nonce: u64,
}

impl ConfirmationQuestion {
    /// Encodes the question as a datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let question = ConfirmationQuestionMessage { nonce: self.nonce };
        ReportMessage {
            confirmation_question: Some(question),
            ..ReportMessage::default()
        }
        .encode_to_vec()
    }
}
