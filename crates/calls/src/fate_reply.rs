use std::time::Duration;

use crate::Fate;

/// A gate's reply to a [`crate::FateQuestion`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FateReply<A> {
    /// What the gate knows.
    pub fate: Fate<A>,
    /// The gate has forgotten no call that arrived within this time before the reply.
    pub remembered: Duration,
}

impl<A> FateReply<A> {
    /// Turns "never seen" into a fact, given how long ago the entry made the call's id.
    ///
    /// The entry measures `call_age` when the reply arrives, by its own clock. A call younger than
    /// what the gate remembers can't have been forgotten, so it did not run, and since its channel
    /// is closed it never will. An older one may have run. No two clocks are compared.
    #[must_use]
    pub fn settle(self, call_age: Duration) -> Fate<A> {
        match self.fate {
            Fate::NeverSeen if call_age < self.remembered => Fate::NotRun,
            Fate::NeverSeen => Fate::MayHaveRun,
            fate => fate,
        }
    }
}
