/// The kind of request that a caller sends, by whether it may run twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OvernightKind {
    /// A request that may run any number of times.
    Idempotent,
    /// A request that must run at most once and carries an idempotency key.
    Keyed,
    /// A request that must run at most once and carries no key.
    Once,
}

impl OvernightKind {
    /// Returns whether the caller resends the request although it may have run.
    #[must_use]
    pub fn resends_if_it_may_have_run(self) -> bool {
        match self {
            Self::Idempotent | Self::Keyed => true,
            Self::Once => false,
        }
    }

    /// Returns whether the request may run more than once.
    #[must_use]
    pub fn may_run_twice(self) -> bool {
        self == Self::Idempotent
    }
}
