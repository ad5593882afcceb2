use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    BatchOutcome, CallSettings, ClaimResult, ClaimWrite, ClaimWriteOutcome, RefusalReason,
};

/// How many full transactions of claims may wait.
const WAITING_BATCHES: usize = 4;

/// How long claims are refused at once after the store failed to take one.
const STORE_DOWN: Duration = Duration::from_secs(1);

/// Groups a gate's claims into transactions: one at a time, and at most one an interval.
///
/// A lone claim is written at once; under load those that arrive meanwhile share the next
/// transaction, so a gate's writes are bounded whatever its calls.
#[derive(Debug)]
pub struct ClaimBatch {
    down_until: Option<Instant>,
    flying: Vec<ClaimWrite>,
    interval: Duration,
    next_start: Option<Instant>,
    rows: usize,
    waiting: VecDeque<ClaimWrite>,
}

impl ClaimBatch {
    /// Makes an empty batch.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        Self {
            down_until: None,
            flying: Vec::new(),
            interval: settings.claim_interval,
            next_start: None,
            rows: settings.claim_batch_rows.max(1),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a write to the next transaction.
    ///
    /// # Errors
    ///
    /// The store is down or too slow, so the request must be refused.
    pub fn submit(&mut self, now: Instant, write: ClaimWrite) -> Result<(), RefusalReason> {
        let is_down = self.down_until.is_some_and(|until| now < until);
        if is_down || self.waiting.len() >= self.rows * WAITING_BATCHES {
            return Err(RefusalReason::StoreDown);
        }
        self.waiting.push_back(write);
        Ok(())
    }

    /// Returns the writes of the transaction to send now; [`ClaimBatch::finish`] follows.
    pub fn start(&mut self, now: Instant) -> Option<&[ClaimWrite]> {
        let due = self.next_start.is_none_or(|start| start <= now);
        if !due || !self.flying.is_empty() || self.waiting.is_empty() {
            return None;
        }
        self.flying = self.take_batch();
        self.next_start = Some(now + self.interval);
        Some(&self.flying)
    }

    /// Takes in how the transaction ended, and returns how each try's claim did.
    ///
    /// After a conflict the writes that are not to blame go first into the next transaction.
    pub fn finish(&mut self, now: Instant, end: &BatchOutcome) -> Vec<ClaimResult> {
        let flown = std::mem::take(&mut self.flying);
        let commit = match end {
            BatchOutcome::Conflict { key } => return self.part(flown, key),
            BatchOutcome::Down => {
                self.down_until = Some(now + STORE_DOWN);
                ClaimWriteOutcome::Down
            }
            BatchOutcome::Unknown => ClaimWriteOutcome::Unknown,
            BatchOutcome::Written => ClaimWriteOutcome::Written,
        };
        let mut ended: Vec<ClaimWrite> = flown;
        if commit == ClaimWriteOutcome::Down {
            ended.extend(self.waiting.drain(..));
        }
        ended.iter().map(|write| result(write, commit)).collect()
    }

    /// Returns when [`ClaimBatch::start`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        if self.waiting.is_empty() || !self.flying.is_empty() {
            return None;
        }
        self.next_start
    }

    /// Takes the next writes, at most one to a row.
    fn take_batch(&mut self) -> Vec<ClaimWrite> {
        let mut batch: Vec<ClaimWrite> = Vec::new();
        let mut left = VecDeque::new();
        for write in self.waiting.drain(..) {
            let is_free = batch.iter().all(|other| other.key != write.key);
            if is_free && batch.len() < self.rows {
                batch.push(write);
            } else {
                left.push_back(write);
            }
        }
        self.waiting = left;
        batch
    }

    /// Gives up the writes to the row in conflict, or all if none of them is to that row.
    fn part(&mut self, flown: Vec<ClaimWrite>, key: &str) -> Vec<ClaimResult> {
        let is_ours = flown.iter().any(|write| write.key == key);
        let mut results = Vec::new();
        for write in flown.into_iter().rev() {
            if !is_ours || write.key == key {
                results.push(result(&write, ClaimWriteOutcome::Conflict));
            } else {
                self.waiting.push_front(write);
            }
        }
        results
    }
}

fn result(write: &ClaimWrite, outcome: ClaimWriteOutcome) -> ClaimResult {
    ClaimResult {
        attempt: write.attempt,
        outcome,
    }
}
