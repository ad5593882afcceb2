//! What daemons tell each other; see `docs/design/platform.md`.
//!
//! A request is handed on as HTTP/1.1 with the headers of [`hop_header`]; what a daemon knows of itself
//! travels in [`Report`] datagrams.

pub mod hop_header;
pub mod peer_path;
mod refusal_reason;
mod report;
mod report_error;
mod report_message;

pub use refusal_reason::RefusalReason;
pub use report::Report;
pub use report_error::ReportError;
