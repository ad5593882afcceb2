use crate::RequestRate;

/// What a target says of itself in the headers of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// The rate that it takes from all daemons together; none if it names no limit.
    pub limit: Option<RequestRate>,
}
