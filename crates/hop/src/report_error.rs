use displaydoc::Display;

/// Why a report could not be read.
#[derive(Debug, Display)]
pub enum ReportError {
    /// `{0}` is not an address
    Address(String),
    /// the report is not valid: {0}
    Encoding(String),
    /// `{0}` is not a state
    State(u32),
}

impl std::error::Error for ReportError {}
