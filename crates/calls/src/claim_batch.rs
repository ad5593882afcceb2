use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    BatchOutcome, CallSettings, ClaimResult, ClaimWrite, ClaimWriteOutcome, RefusalReason,
};

/// How many transactions' worth of claim writes may wait.
const MAX_WAITING_BATCHES: usize = 4;

/// How long new claims are refused at once after a transaction found the store down.
const STORE_DOWN_PERIOD: Duration = Duration::from_secs(1);

/// Groups a gate's claim writes into transactions: one in flight at a time, and at most one started
/// per interval.
///
/// A single claim is written at once. Under load, the claims that arrive in the meantime share the
/// next transaction, so the rate of a gate's transactions is bounded however many calls it gets.
#[derive(Debug)]
pub struct ClaimBatch {
    down_until: Option<Instant>,
    in_flight: Vec<ClaimWrite>,
    interval: Duration,
    next_start: Option<Instant>,
    row_limit: usize,
    waiting: VecDeque<ClaimWrite>,
}

impl ClaimBatch {
    /// Makes a batch without writes; its first transaction may start at once.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        Self {
            down_until: None,
            in_flight: Vec::new(),
            interval: settings.claim_interval,
            next_start: None,
            row_limit: settings.claim_batch_rows.max(1),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a write to the next transaction.
    ///
    /// # Errors
    ///
    /// The store is down or too many writes wait for it, so the request must be refused.
    pub fn submit(&mut self, now: Instant, write: ClaimWrite) -> Result<(), RefusalReason> {
        let is_down = self.down_until.is_some_and(|until| now < until);
        if is_down || self.waiting.len() >= self.row_limit * MAX_WAITING_BATCHES {
            return Err(RefusalReason::StoreDown);
        }
        self.waiting.push_back(write);
        Ok(())
    }

    /// Returns the writes of the transaction to send now, if any; [`ClaimBatch::finish`] must follow.
    pub fn start(&mut self, now: Instant) -> Option<&[ClaimWrite]> {
        let due = self.next_start.is_none_or(|start| start <= now);
        if !due || !self.in_flight.is_empty() || self.waiting.is_empty() {
            return None;
        }
        self.in_flight = self.take_batch();
        self.next_start = Some(now + self.interval);
        Some(&self.in_flight)
    }

    /// Records how the transaction in flight ended, and returns the outcome of each finished write.
    ///
    /// After a conflict, the write to the conflicting row is finished and the others are the first
    /// of the next transaction; if no write is to that row, all are finished. If the store is down,
    /// the writes that wait for the next transaction fail as well.
    pub fn finish(&mut self, now: Instant, batch_outcome: &BatchOutcome) -> Vec<ClaimResult> {
        let sent = std::mem::take(&mut self.in_flight);
        let outcome = match batch_outcome {
            BatchOutcome::Conflict { key } => return self.resolve_conflict(sent, key),
            BatchOutcome::Down => {
                self.down_until = Some(now + STORE_DOWN_PERIOD);
                ClaimWriteOutcome::Down
            }
            BatchOutcome::Unknown => ClaimWriteOutcome::Unknown,
            BatchOutcome::Written => ClaimWriteOutcome::Written,
        };
        let mut finished: Vec<ClaimWrite> = sent;
        if outcome == ClaimWriteOutcome::Down {
            finished.extend(self.waiting.drain(..));
        }
        finished
            .iter()
            .map(|write| result(write, outcome))
            .collect()
    }

    /// Returns when [`ClaimBatch::start`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        if self.waiting.is_empty() || !self.in_flight.is_empty() {
            return None;
        }
        self.next_start
    }

    /// Removes the next writes from the queue, at most one for each row.
    fn take_batch(&mut self) -> Vec<ClaimWrite> {
        let mut batch: Vec<ClaimWrite> = Vec::new();
        let mut remaining = VecDeque::new();
        for write in self.waiting.drain(..) {
            let is_row_unused = batch.iter().all(|other| other.key != write.key);
            if is_row_unused && batch.len() < self.row_limit {
                batch.push(write);
            } else {
                remaining.push_back(write);
            }
        }
        self.waiting = remaining;
        batch
    }

    /// Finishes the write to the row in conflict and requeues the others; if none of the writes is to
    /// that row, finishes all.
    fn resolve_conflict(&mut self, sent: Vec<ClaimWrite>, key: &str) -> Vec<ClaimResult> {
        let is_in_batch = sent.iter().any(|write| write.key == key);
        let mut results = Vec::new();
        for write in sent.into_iter().rev() {
            if !is_in_batch || write.key == key {
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
