use displaydoc::Display;

/// How far a rollout has come.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RolloutState {
    /// completed
    Completed,
    /// rolled back
    RolledBack,
    /// running
    Running,
}

impl RolloutState {
    /// Returns whether the state is a verdict, which is never reverted.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Running)
    }
}
