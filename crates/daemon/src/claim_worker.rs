use std::{
    collections::HashMap,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    thread::JoinHandle,
    time::Duration,
};

use medlarspool_calls::{
    BatchOutcome, CallSettings, ClaimBatch, ClaimWrite, ClaimWriteOutcome, StoredClaimRow,
};
use medlarspool_platform::{Platform, PlatformError, RowCondition, RowWrite};
use medlarspool_types::CallId;
use tokio::sync::oneshot;

use crate::{DaemonError, claim_job::ClaimJob, shared_state::SharedState};

/// How long the thread waits for a job at most before it checks whether the daemon has stopped.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// The thread that reads and writes claims in the store, many writes in one transaction, so that no other
/// thread blocks on the store.
pub(crate) struct ClaimWorker {
    batch: ClaimBatch,
    platform: Arc<dyn Platform>,
    shared: Arc<SharedState>,
    waiting_writes: HashMap<CallId, oneshot::Sender<ClaimWriteOutcome>>,
}

impl ClaimWorker {
    pub(crate) fn start(
        shared: Arc<SharedState>,
        settings: &CallSettings,
        platform: Arc<dyn Platform>,
        jobs: Receiver<ClaimJob>,
    ) -> Result<JoinHandle<()>, DaemonError> {
        let mut worker = Self {
            batch: ClaimBatch::new(settings),
            platform,
            shared,
            waiting_writes: HashMap::new(),
        };
        std::thread::Builder::new()
            .name("claims".into())
            .spawn(move || worker.serve(&jobs))
            .map_err(|error| DaemonError::Thread(error.to_string()))
    }

    fn serve(&mut self, jobs: &Receiver<ClaimJob>) {
        while !self.shared.is_stopped() {
            match jobs.recv_timeout(self.max_wait()) {
                Ok(job) => {
                    self.handle(job);
                    for job in jobs.try_iter() {
                        self.handle(job);
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.write();
        }
    }

    fn handle(&mut self, job: ClaimJob) {
        match job {
            ClaimJob::Read { answer_sender, key } => {
                if let Ok(holder) = self.read(&key) {
                    send_answer(answer_sender, holder);
                }
            }
            ClaimJob::Write {
                answer_sender,
                write,
            } => {
                let attempt = write.attempt;
                match self.batch.submit(self.shared.clock.now(), write) {
                    Ok(()) => drop(self.waiting_writes.insert(attempt, answer_sender)),
                    Err(_) => send_answer(answer_sender, ClaimWriteOutcome::Down),
                }
            }
        }
    }

    /// Reads and parses a claim row; `None` if there is none.
    fn read(&self, key: &str) -> Result<Option<StoredClaimRow>, PlatformError> {
        self.shared.metrics.store_reads.inc();
        let row = self.platform.get_row(key).inspect_err(|_| {
            self.shared.metrics.store_failures.inc();
        })?;
        row.map(|row| {
            let claim = row.value.parse();
            let claim = claim.map_err(|_| PlatformError::Malformed(row.value));
            Ok(StoredClaimRow {
                etag: row.etag,
                row: claim?,
            })
        })
        .transpose()
    }

    /// Returns how long to wait for a job: until the next transaction is due, and at most [`MAX_WAIT`].
    fn max_wait(&self) -> Duration {
        let due_at = self.batch.next_wakeup();
        due_at.map_or(MAX_WAIT, |due_at| {
            let wait = due_at.saturating_duration_since(self.shared.clock.now());
            wait.min(MAX_WAIT)
        })
    }

    /// Writes the claims in one transaction if one is due, and reports the outcome to the calls that wait for
    /// it.
    fn write(&mut self) {
        let Some(writes) = self.batch.start(self.shared.clock.now()) else {
            return;
        };
        let writes: Vec<RowWrite> = writes.iter().map(row_write).collect();
        self.shared.metrics.store_writes.inc();
        let outcome = match self.platform.transact(&writes) {
            Ok(()) => BatchOutcome::Written,
            Err(PlatformError::Conflict { key }) => BatchOutcome::Conflict { key },
            Err(PlatformError::OutcomeUnknown(_)) => BatchOutcome::Unknown,
            Err(_) => BatchOutcome::Down,
        };
        if matches!(outcome, BatchOutcome::Down | BatchOutcome::Unknown) {
            self.shared.metrics.store_failures.inc();
        }
        for result in self.batch.finish(self.shared.clock.now(), &outcome) {
            if let Some(answer_sender) = self.waiting_writes.remove(&result.attempt) {
                send_answer(answer_sender, result.outcome);
            }
        }
    }
}

fn row_write(write: &ClaimWrite) -> RowWrite {
    RowWrite {
        condition: write
            .etag
            .map_or(RowCondition::Absent, RowCondition::Matches),
        key: write.key.clone(),
        value: write.value.clone(),
    }
}

fn send_answer<T>(answer_sender: oneshot::Sender<T>, value: T) {
    if answer_sender.send(value).is_err() {
        log::debug!("the call that asked for a claim has ended");
    }
}
