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

/// How long the HTTP client waits for an answer beyond [`CallLoad::max_wait`].
const CLIENT_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// The longest time that can be recorded, in microseconds (60 s); a longer time is recorded as this one.
const MAX_RECORDED_US: u64 = 60_000_000;

/// The size of a sender thread's stack, in bytes; kept small because a load may have many senders.
const STACK_BYTES: usize = 256 * 1024;

/// An open-loop load: requests are sent on schedule, whether or not earlier ones were answered.
#[derive(Clone, Debug)]
pub struct CallLoad {
    /// The credential that is sent with each request.
    pub credential: String,
    /// The time during which requests are due, from the start of the load.
    pub duration: Duration,
    /// How long a caller waits for an answer; sent in each request's header `medlarspool-remaining-ms`.
    pub max_wait: Duration,
    /// Requests due per second, over all URLs.
    pub requests_per_second: f64,
    /// The number of sender threads. Each sends one request at a time, so this is also the maximum number of
    /// requests in flight.
    pub sender_count: usize,
    /// The URLs that requests are sent to, in turn.
    pub urls: Vec<String>,
}

impl CallLoad {
    /// Sends all requests and returns their outcomes. The time of a request is measured from when it was due,
    /// not from when it was sent, so it includes the wait for a free sender.
    ///
    /// # Errors
    ///
    /// Returns why a sender thread can't be started.
    pub fn run(&self) -> Result<CallLoadResult, String> {
        let started = Instant::now();
        let next_request_number = AtomicU64::new(0);
        let total = Mutex::new(CallLoadResult::default());
        thread::scope(|scope| {
            for _ in 0..self.sender_count {
                thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn_scoped(scope, || {
                        let sender_result = self.run_sender(started, &next_request_number);
                        let mut total = total.lock().unwrap_or_else(PoisonError::into_inner);
                        total.add(sender_result);
                    })
                    .map_err(|error| error.to_string())?;
            }
            Ok::<(), String>(())
        })?;
        let mut total = total.into_inner().unwrap_or_else(PoisonError::into_inner);
        total.elapsed = started.elapsed();
        Ok(total)
    }

    /// Sends requests, each when it is due, until the load's duration is over. All senders share one sequence of
    /// request numbers.
    fn run_sender(&self, started: Instant, next_request_number: &AtomicU64) -> CallLoadResult {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(self.max_wait + CLIENT_TIMEOUT_MARGIN))
            .build()
            .into();
        let mut result = CallLoadResult::default();
        loop {
            let request_number = next_request_number.fetch_add(1, Ordering::Relaxed);
            let due = Duration::from_secs_f64(as_f64(request_number) / self.requests_per_second);
            if due >= self.duration {
                return result;
            }
            let due = started + due;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.send_request(&agent, request_number, started, due, &mut result);
        }
    }

    /// Sends one request and records its outcome. An answer is correct if its body contains the request's
    /// number, which is the last segment of the request's path.
    fn send_request(
        &self,
        agent: &Agent,
        request_number: u64,
        started: Instant,
        due: Instant,
        result: &mut CallLoadResult,
    ) {
        let url_index = usize::try_from(request_number).unwrap_or(0) % self.urls.len();
        let url = format!("{}/{request_number}", self.urls[url_index]);
        let answer = agent
            .get(&url)
            .header("authorization", format!("Bearer {}", self.credential))
            .header(
                "medlarspool-remaining-ms",
                self.max_wait.as_millis().to_string(),
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
            Ok((200, body)) if body.contains(&format!("/{request_number} ")) => {
                result.record_answer(elapsed);
                result.answered_in_time += u64::from(in_time);
            }
            Ok((200, _)) => result.wrong += 1,
            Ok((503, _)) => result.refused += 1,
            Ok(_) => result.unknown += 1,
            Err(_) => result.lost += 1,
        }
    }
}

/// Makes an empty histogram of times in microseconds.
pub(crate) fn answer_time_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("the bounds are constant and valid")
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a bench sends far fewer than 2^52 requests"
)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
