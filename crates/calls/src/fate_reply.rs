use std::time::Duration;

use crate::Fate;

/// A gate's reply to a [`crate::FateQuestion`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FateReply<A> {
    /// What the gate knows.
    pub fate: Fate<A>,
    /// The time before the reply for which the gate's records are complete: it still has the record
    /// of every started call that arrived within this time.
    pub retention: Duration,
}

impl<A> FateReply<A> {
    /// Decides what [`Fate::NeverSeen`] means, given how long ago the entry made the call's id.
    ///
    /// The entry measures `call_age` by its own clock when the reply arrives. If a call younger
    /// than [`FateReply::retention`] had started, the gate would still have its record. So it did
    /// not run, and it never will, because its channel is closed. An older call may have run. The
    /// clocks of two machines are never compared.
    #[must_use]
    pub fn settle(self, call_age: Duration) -> Fate<A> {
        match self.fate {
            Fate::NeverSeen if call_age < self.retention => Fate::NotRun,
            Fate::NeverSeen => Fate::MayHaveRun,
            fate => fate,
        }
    }
}
