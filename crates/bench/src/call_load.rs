use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use ureq::Agent;

use crate::CallLoadResult;

/// How long a caller waits for an answer beyond what it asks for.
const GRACE: Duration = Duration::from_secs(5);

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// The memory of a sender's stack, in bytes; there may be many of them.
const STACK_BYTES: usize = 256 * 1024;

/// Requests that arrive on schedule, whether or not earlier ones were answered.
#[derive(Clone, Debug)]
pub struct CallLoad {
    /// The credential that callers show.
    pub credential: String,
    /// For how long requests arrive.
    pub duration: Duration,
    /// How long a caller waits.
    pub patience: Duration,
    /// Arrivals a second, over all addresses.
    pub per_second: f64,
    /// The most requests that are under way at once.
    pub senders: usize,
    /// Where requests are sent, in turn.
    pub urls: Vec<String>,
}

impl CallLoad {
    /// Sends all requests and returns what became of them, timed from when each was due.
    ///
    /// # Errors
    ///
    /// Returns why a sender can't be started.
    pub fn run(&self) -> Result<CallLoadResult, String> {
        let started = Instant::now();
        let next = AtomicU64::new(0);
        let whole = Mutex::new(CallLoadResult::default());
        thread::scope(|scope| {
            for _ in 0..self.senders {
                thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn_scoped(scope, || {
                        let part = self.send(started, &next);
                        let mut whole = whole.lock().unwrap_or_else(PoisonError::into_inner);
                        whole.add(part);
                    })
                    .map_err(|error| error.to_string())?;
            }
            Ok::<(), String>(())
        })?;
        let mut whole = whole.into_inner().unwrap_or_else(PoisonError::into_inner);
        whole.elapsed = started.elapsed();
        Ok(whole)
    }

    fn send(&self, started: Instant, next: &AtomicU64) -> CallLoadResult {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(self.patience + GRACE))
            .build()
            .into();
        let mut result = CallLoadResult::default();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let due = Duration::from_secs_f64(as_f64(number) / self.per_second);
            if due >= self.duration {
                return result;
            }
            let due = started + due;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.send_one(&agent, number, started, due, &mut result);
        }
    }

    fn send_one(
        &self,
        agent: &Agent,
        number: u64,
        started: Instant,
        due: Instant,
        result: &mut CallLoadResult,
    ) {
        let turn = usize::try_from(number).unwrap_or(0) % self.urls.len();
        let url = format!("{}/{number}", self.urls[turn]);
        let answer = agent
            .get(&url)
            .header("authorization", format!("Bearer {}", self.credential))
            .header(
                "medlarspool-remaining-ms",
                self.patience.as_millis().to_string(),
            )
            .call();
        let body = answer.map(|mut answer| {
            let status = answer.status().as_u16();
            let body = answer.body_mut().read_to_string();
            (status, body.unwrap_or_default())
        });
        let ended = Instant::now();
        let elapsed = ended.saturating_duration_since(due);
        let in_time = ended.saturating_duration_since(started) <= self.duration;
        match body {
            Ok((200, body)) if body.contains(&format!("/{number} ")) => {
                result.answer(elapsed);
                result.answered_in_time += u64::from(in_time);
            }
            Ok((200, _)) => result.wrong += 1,
            Ok((503, _)) => result.refused += 1,
            Ok(_) => result.unknown += 1,
            Err(_) => result.lost += 1,
        }
    }
}

/// Makes the histogram of times in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are in order")
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a bench sends far fewer than 2^52 requests"
)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
