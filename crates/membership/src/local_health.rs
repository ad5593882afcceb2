/// The worst score; the best is 0.
const MAX_SCORE: u32 = 3;

/// Lifeguard's local health score: how unreliable this daemon's own probes appear to be. A daemon
/// with a high score, such as an overloaded one, waits longer before it suspects others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Returns the factor by which the timeouts of probes and the duration of suspicions are multiplied,
    /// from 1 to 4.
    pub(crate) fn factor(self) -> u32 {
        self.score + 1
    }

    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(crate) fn score(self) -> u32 {
        self.score
    }
}
