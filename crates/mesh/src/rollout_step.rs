/// What the decider is to do next in a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutStep {
    /// Write `completed` to the store, and tell it after the store's answer.
    Complete,
    /// Leave everything as it is.
    Keep,
    /// Tell all daemons to apply this share, in 1000ths.
    RaiseShare(u16),
    /// Tell all daemons that the rollout is rolled back, and write it to the store.
    RollBack,
}
