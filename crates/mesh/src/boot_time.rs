use std::time::Duration;

/// A moment on the clock that counts from the machine's boot, also while the machine is suspended.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// Returns the time since an earlier moment; zero if that is later.
    #[must_use]
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
