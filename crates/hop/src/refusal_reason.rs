use displaydoc::Display;

/// Why a request did not run, or did not run to completion.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// attempts-used-up
    AttemptsUsedUp,
    /// busy
    Busy,
    /// deadline
    Deadline,
    /// hop-lost
    HopLost,
    /// moved
    Moved,
    /// no-budget
    NoBudget,
    /// no-config
    NoConfig,
    /// no-route
    NoRoute,
    /// no-target
    NoTarget,
    /// quarantined
    Quarantined,
    /// stopping
    Stopping,
    /// target-failed
    TargetFailed,
    /// target-refused
    TargetRefused,
}

impl RefusalReason {
    /// All reasons, for metrics and for decoding.
    pub const ALL: [Self; 13] = [
        Self::AttemptsUsedUp,
        Self::Busy,
        Self::Deadline,
        Self::HopLost,
        Self::Moved,
        Self::NoBudget,
        Self::NoConfig,
        Self::NoRoute,
        Self::NoTarget,
        Self::Quarantined,
        Self::Stopping,
        Self::TargetFailed,
        Self::TargetRefused,
    ];

    /// Returns the reason as it is written in headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AttemptsUsedUp => "attempts-used-up",
            Self::Busy => "busy",
            Self::Deadline => "deadline",
            Self::HopLost => "hop-lost",
            Self::Moved => "moved",
            Self::NoBudget => "no-budget",
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::TargetFailed => "target-failed",
            Self::TargetRefused => "target-refused",
        }
    }

    /// Parses a reason; none if the text isn't one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}
