use prost::Message;

use crate::{
    ConfirmationAnswer, ConfirmationQuestion, QuotaMessage, Report, ReportError,
    report_message::ReportMessage,
};

/// A datagram that daemons send each other.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// The answer to a question of this daemon.
    ConfirmationAnswer(ConfirmationAnswer),
    /// A question that asks for an answer.
    ConfirmationQuestion(ConfirmationQuestion),
    /// A question for credits of an account, or its answer.
    Quota(QuotaMessage),
    /// The state of the sender.
    Report(Box<Report>),
}

impl PeerMessage {
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns which part of it is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let message = ReportMessage::decode(bytes)
            .map_err(|error| ReportError::Encoding(error.to_string()))?;
        if let Some(answer) = &message.confirmation_answer {
            return Ok(Self::ConfirmationAnswer(ConfirmationAnswer::decode(answer)));
        }
        if let Some(question) = &message.confirmation_question {
            let nonce = question.nonce;
            return Ok(Self::ConfirmationQuestion(ConfirmationQuestion { nonce }));
        }
        if let Some(quota) = QuotaMessage::of_message(&message) {
            return Ok(Self::Quota(quota));
        }
        Report::of_message(&message).map(|report| Self::Report(Box::new(report)))
    }
}
