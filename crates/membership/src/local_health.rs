/// The highest score of a daemon that doubts itself.
const MAX_SCORE: u32 = 3;

/// How far a daemon doubts its own view, so that a slow one suspects others more slowly.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Returns the factor by which timeouts are stretched.
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
