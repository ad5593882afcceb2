use displaydoc::Display;

/// Why a request did not run, or did not run to completion.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    // A target refused the request, and its route allows no further attempt.
    /// attempts-used-up
    AttemptsUsedUp,
    // The request would have to wait too long for a slot.
    /// busy
    Busy,
    // The services that a run of the route calls are short, so that the run would most likely fail.
    /// calls-fail
    CallsFail,
    // The deadline passed, or is too close for another attempt.
    /// deadline
    Deadline,
    // The gate can't be reached, the connection to it was lost, or it doesn't know the outcome.
    /// hop-lost
    HopLost,
    // The gate's target is not the chosen one, or can't be used any more.
    /// moved
    Moved,
    // A retry is needed, and the retry budget has none.
    /// no-budget
    NoBudget,
    // The daemon has no configuration yet.
    /// no-config
    NoConfig,
    // No route matches the request.
    /// no-route
    NoRoute,
    // No target of the service is usable, or no daemon listens at the chosen target's address.
    /// no-target
    NoTarget,
    // The client's account has used up its limit.
    /// over-quota
    OverQuota,
    // The request was running at several crashes of targets.
    /// quarantined
    Quarantined,
    // The daemon is stopping and accepts no more requests.
    /// stopping
    Stopping,
    // The target was sent the request and gave no valid response, or the client's body broke off.
    /// target-failed
    TargetFailed,
    // The target responded that it didn't run the request.
    /// target-refused
    TargetRefused,
    // The client's key is missing, malformed or unknown to the entry.
    /// unauthorized
    Unauthorized,
    // The daemon doesn't know for how long its configuration has been outdated, and may permit keys that were removed.
    /// unconfirmed
    Unconfirmed,
    // The client's key is unknown to the gate, whose configuration differs from the entry's.
    /// unknown-key
    UnknownKey,
}

impl RefusalReason {
    /// All reasons, for metrics and for decoding.
    pub const ALL: [Self; 18] = [
        Self::AttemptsUsedUp,
        Self::Busy,
        Self::CallsFail,
        Self::Deadline,
        Self::HopLost,
        Self::Moved,
        Self::NoBudget,
        Self::NoConfig,
        Self::NoRoute,
        Self::NoTarget,
        Self::OverQuota,
        Self::Quarantined,
        Self::Stopping,
        Self::TargetFailed,
        Self::TargetRefused,
        Self::Unauthorized,
        Self::Unconfirmed,
        Self::UnknownKey,
    ];

    /// Returns the reason as it is written in headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AttemptsUsedUp => "attempts-used-up",
            Self::Busy => "busy",
            Self::CallsFail => "calls-fail",
            Self::Deadline => "deadline",
            Self::HopLost => "hop-lost",
            Self::Moved => "moved",
            Self::NoBudget => "no-budget",
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::OverQuota => "over-quota",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::TargetFailed => "target-failed",
            Self::TargetRefused => "target-refused",
            Self::Unauthorized => "unauthorized",
            Self::Unconfirmed => "unconfirmed",
            Self::UnknownKey => "unknown-key",
        }
    }

    /// Parses a reason; none if the text isn't one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}
