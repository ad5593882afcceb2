use std::{collections::BTreeMap, time::Instant};

use crate::calls_event::Event;

/// The pending events, ordered by time and, at the same time, by when they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct CallsEvents {
    events: BTreeMap<Key, Event>,
    next_sequence: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    at: Instant,
    sequence: u64,
}

impl CallsEvents {
    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        let key = Key {
            at,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.events.insert(key, event);
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, Event)> {
        let (key, event) = self.events.pop_first()?;
        Some((key.at, event))
    }
}
