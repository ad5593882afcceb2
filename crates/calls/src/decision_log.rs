use std::collections::VecDeque;

use crate::{CallSettings, Decision};

/// The latest decisions, for the dump: they show why a call was sent to an upstream, or not at all.
#[derive(Debug)]
pub struct DecisionLog {
    decisions: VecDeque<Decision>,
    max_decisions: usize,
}

impl DecisionLog {
    /// Makes an empty log of at most [`CallSettings::max_decisions`] decisions.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        Self {
            decisions: VecDeque::with_capacity(settings.max_decisions),
            max_decisions: settings.max_decisions,
        }
    }

    /// Adds a decision; if the log is full, the oldest one is dropped.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() >= self.max_decisions {
            self.decisions.pop_front();
        }
        if self.max_decisions > 0 {
            self.decisions.push_back(decision);
        }
    }

    /// Returns the decisions, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }
}
