use displaydoc::Display;

/// Why a report could not be decoded.
#[derive(Debug, Display)]
pub enum ReportError {
    /// `{0}` is not the address and port of a process
    Address(String),
    /// the report is not valid: {0}
    Encoding(String),
    /// the report is not that of `{0}`
    OtherSender(String),
    /// `{0}` is not the number of a rollout's state
    RolloutState(u32),
    /// `{0}` is not the start of a process in Unix milliseconds
    Start(u64),
    /// `{0}` is not the number of a target state
    State(u32),
}

impl std::error::Error for ReportError {}
