use crate::RequestRate;

/// What is known of the rate of requests that a target takes from all daemons together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetLimit {
    /// The target named this rate.
    Limited(RequestRate),
    /// The target has not responded since the daemon beside it, or the target itself, started.
    #[default]
    Unknown,
    /// The target named no limit.
    Unlimited,
}

impl TargetLimit {
    /// Returns the number by which daemons tell each other what they know; 0 for an unknown limit.
    #[must_use]
    pub const fn to_number(self) -> u32 {
        match self {
            Self::Limited(rate) => rate.requests_per_1000_s().saturating_add(2),
            Self::Unknown => 0,
            Self::Unlimited => 1,
        }
    }

    /// Reads the number that [`TargetLimit::to_number`] returned.
    #[must_use]
    pub const fn from_number(number: u32) -> Self {
        match number {
            0 => Self::Unknown,
            1 => Self::Unlimited,
            _ => Self::Limited(RequestRate::from_requests_per_1000_s(number - 2)),
        }
    }
}
