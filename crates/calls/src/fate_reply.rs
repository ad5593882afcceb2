use std::time::Duration;

use crate::Fate;

/// A gate's reply to a [`crate::FateQuestion`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FateReply<A> {
    /// What the gate knows.
    pub fate: Fate<A>,
    /// How far back the gate's memory reaches: it has forgotten no call that was started and that
    /// arrived within this time before the reply.
    pub retention: Duration,
}

impl<A> FateReply<A> {
    /// Decides what [`Fate::NeverSeen`] means, given how long ago the entry made the call's id.
    ///
    /// The entry measures `call_age` by its own clock when the reply arrives. A call younger than the
    /// gate's memory reaches back can't have been forgotten, so it did not run; and it never will,
    /// because its channel is closed. An older call may have run. The clocks of two machines are
    /// never compared.
    #[must_use]
    pub fn settle(self, call_age: Duration) -> Fate<A> {
        match self.fate {
            Fate::NeverSeen if call_age < self.retention => Fate::NotRun,
            Fate::NeverSeen => Fate::MayHaveRun,
            fate => fate,
        }
    }
}
