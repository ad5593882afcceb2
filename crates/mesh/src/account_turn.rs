use std::{rc::Rc, time::Duration};

/// What the queued requests of one account in one rank have earned of a target's time.
#[derive(Clone, Debug)]
pub(crate) struct AccountTurn {
    /// The account; none for the requests without one.
    pub(crate) account: Option<Rc<str>>,
    /// The run time that the account may still take before the others of the rank earn more.
    pub(crate) deficit: Duration,
    pub(crate) rank: u32,
    /// The number of queued requests.
    pub(crate) waiting_count: usize,
}
