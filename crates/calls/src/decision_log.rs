use std::collections::VecDeque;

use crate::{CallSettings, Decision};

/// The last decisions, for the dump: why did this call go there, or nowhere?
#[derive(Debug)]
pub struct DecisionLog {
    decisions: VecDeque<Decision>,
    most: usize,
}

impl DecisionLog {
    /// Makes an empty log.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        Self {
            decisions: VecDeque::with_capacity(settings.max_decisions),
            most: settings.max_decisions,
        }
    }

    /// Adds a decision; the oldest gives way.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() >= self.most {
            self.decisions.pop_front();
        }
        if self.most > 0 {
            self.decisions.push_back(decision);
        }
    }

    /// Returns the decisions, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }
}
