use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use fastrand::Rng;

use crate::{CallerReply, OvernightKind, OvernightRequest, epoch_ms};

/// The maximum number of times that one request is sent.
const MAX_SENDS: u32 = 6;

/// The pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// The pause before a request is resent.
const RESEND_PAUSE: Duration = Duration::from_millis(150);

/// Threads that send a steady load until they are stopped; each sends its next request only after the last one
/// was answered or failed.
pub struct OvernightCallers {
    finished: Arc<Mutex<Vec<OvernightRequest>>>,
    is_stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl OvernightCallers {
    /// Starts `count` callers that call the services through the daemons' callers' addresses.
    #[must_use]
    pub fn start(
        count: u32,
        daemon_addresses: &[SocketAddr],
        services: &[String],
        credential: &str,
        seed: u64,
    ) -> Self {
        let mut callers = Self {
            finished: Arc::default(),
            is_stopping: Arc::default(),
            threads: Vec::new(),
        };
        for index in 0..count {
            let caller = Caller {
                credential: credential.into(),
                daemon_addresses: daemon_addresses.to_vec(),
                index,
                random: Rng::with_seed(seed ^ u64::from(index) << 32),
                services: services.to_vec(),
            };
            let finished = Arc::clone(&callers.finished);
            let stopping = Arc::clone(&callers.is_stopping);
            callers
                .threads
                .push(std::thread::spawn(move || caller.run(&finished, &stopping)));
        }
        callers
    }

    /// Stops the callers and returns the outcome of each request.
    ///
    /// # Panics
    ///
    /// If a caller panicked.
    #[must_use]
    pub fn stop(self) -> Vec<OvernightRequest> {
        self.is_stopping.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("no caller panics");
        }
        std::mem::take(&mut self.finished.lock().expect("no caller panics"))
    }
}

struct Caller {
    credential: String,
    daemon_addresses: Vec<SocketAddr>,
    index: u32,
    random: Rng,
    services: Vec<String>,
}

impl Caller {
    fn run(mut self, finished: &Mutex<Vec<OvernightRequest>>, is_stopping: &AtomicBool) {
        let mut sequence = 0;
        while !is_stopping.load(Ordering::Acquire) {
            sequence += 1;
            let id = format!("r{}-{sequence}", self.index);
            let request = self.request(id);
            finished.lock().expect("no caller panics").push(request);
            std::thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Sends one random request, resends it while that is allowed, and returns its outcome.
    fn request(&mut self, id: String) -> OvernightRequest {
        let kind = match self.random.u8(..3) {
            0 => OvernightKind::Idempotent,
            1 => OvernightKind::Keyed,
            _ => OvernightKind::Once,
        };
        let service = self.services[self.random.usize(..self.services.len())].clone();
        let mut request = OvernightRequest {
            garbled: None,
            id,
            key: idempotency_key(&mut self.random),
            kind,
            never_ran: true,
            ran: false,
            sends: 0,
        };
        while request.sends < MAX_SENDS {
            let reply = self.send(&service, &request);
            request.sends += 1;
            let send_again = apply_reply(&mut request, reply.as_ref().ok());
            if !send_again {
                break;
            }
            std::thread::sleep(RESEND_PAUSE);
        }
        request
    }

    /// Sends a request once, through a random daemon.
    fn send(&mut self, service: &str, request: &OvernightRequest) -> Result<CallerReply, String> {
        let daemon = self.daemon_addresses[self.random.usize(..self.daemon_addresses.len())];
        let url = format!("http://{daemon}/{service}/echo-{}", request.id);
        let id = request.id.as_str();
        match request.kind {
            OvernightKind::Idempotent => {
                CallerReply::get_with(&url, &self.credential, &[("x-request-id", id)])
            }
            OvernightKind::Keyed => {
                let headers = [
                    ("x-request-id", id),
                    ("idempotency-key", request.key.as_str()),
                ];
                CallerReply::post(&url, &self.credential, &headers, id)
            }
            OvernightKind::Once => {
                CallerReply::post(&url, &self.credential, &[("x-request-id", id)], id)
            }
        }
    }
}

/// Makes a UUID of version 7 from the current time and random bits, as idempotency keys must be.
fn idempotency_key(random: &mut Rng) -> String {
    let now_ms = epoch_ms();
    let [first, second] = [now_ms >> 16, now_ms & 0xffff];
    let third = random.u16(..0x1000);
    let fourth = 0x8000 | random.u16(..0x4000);
    let fifth = random.u64(..1 << 48);
    format!("{first:08x}-{second:04x}-7{third:03x}-{fourth:04x}-{fifth:012x}")
}

/// Applies one reply, or its absence, to a request's outcome and returns whether the caller resends it.
fn apply_reply(request: &mut OvernightRequest, reply: Option<&CallerReply>) -> bool {
    let Some(reply) = reply else {
        request.never_ran = false;
        return request.kind.resends_if_it_may_have_run();
    };
    match reply.verdict.as_str() {
        "not-run" => true,
        "ran" => {
            request.never_ran = false;
            request.ran = true;
            if !is_whole_answer(request, &reply.body) {
                request.garbled = Some(reply.clone());
            }
            false
        }
        _ => {
            request.never_ran = false;
            request.kind.resends_if_it_may_have_run()
        }
    }
}

fn is_whole_answer(request: &OvernightRequest, body: &str) -> bool {
    let sent = match request.kind {
        OvernightKind::Idempotent => "",
        OvernightKind::Keyed | OvernightKind::Once => request.id.as_str(),
    };
    body.ends_with(&format!(" /echo-{} {sent}\n", request.id))
}
