use displaydoc::Display;

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// the caller disconnected before the request started
    Cancelled,
    /// the channel over which the request arrived is closed
    ChannelClosed,
    /// the deadline would pass before an answer
    DeadlineUnmeetable,
    /// the queue was full and another customer had less of it
    Displaced,
    /// the gate takes no new work
    Draining,
    /// the request was fenced before it arrived
    Fenced,
    /// the idempotency key was used with another request
    KeyConflict,
    /// the idempotency key is past its lifetime or its time lies in the future
    KeyExpired,
    /// the request crashed two upstreams
    Quarantined,
    /// the queue is full
    QueueFull,
    /// the store can't record the idempotency key now
    StoreDown,
    /// a request suspected of a crash is only run by the gate that saw the crash, one at a time
    Suspected,
    /// the upstream can't be connected to
    UpstreamDown,
}

impl RefusalReason {
    /// Returns whether another upstream of the service may take the request.
    #[must_use]
    pub const fn allows_other_upstream(self) -> bool {
        match self {
            Self::ChannelClosed
            | Self::DeadlineUnmeetable
            | Self::Displaced
            | Self::Draining
            | Self::Fenced
            | Self::QueueFull
            | Self::UpstreamDown => true,
            Self::Cancelled
            | Self::KeyConflict
            | Self::KeyExpired
            | Self::Quarantined
            | Self::StoreDown
            | Self::Suspected => false,
        }
    }
}
