//! The protocol between daemons; see `docs/design/platform.md`.
//!
//! Requests are forwarded over HTTP/1.1 with the headers of [`hop_header`]; daemons report their own state in
//! [`Report`] datagrams.

mod config_compression;
mod confirmation_answer;
mod confirmation_question;
mod crash_codec;
mod hop_account;
pub mod hop_header;
mod peer_message;
pub mod peer_path;
mod quota_message;
mod refusal_reason;
mod report;
mod report_error;
mod report_message;
mod rollout_codec;

pub use config_compression::{compress, decompress};
pub use confirmation_answer::ConfirmationAnswer;
pub use confirmation_question::ConfirmationQuestion;
pub use hop_account::HopAccount;
pub use peer_message::PeerMessage;
pub use quota_message::QuotaMessage;
pub use refusal_reason::RefusalReason;
pub use report::Report;
pub use report_error::ReportError;
