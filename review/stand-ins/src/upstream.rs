//! A stand-in for an upstream, which is a process of its own so that it can crash or be killed.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read, read_body, read_head},
    json::quoted,
};

/// The interval between heartbeats, `heartbeat_s` in the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// The interval between heartbeats until the first one is acknowledged.
const FIRST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// What an upstream does; its command line carries it.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    pub address: SocketAddr,
    /// Where the daemon of its machine takes heartbeats.
    pub control: SocketAddr,
    /// A request whose path contains this text crashes the upstream as soon as it begins to run it; empty for none.
    pub crash_mark: String,
    /// A request whose path contains this text is answered before its body was read; empty for none.
    pub early_mark: String,
    /// One run in so many takes `long_work` instead of `work`; 0 for none.
    pub long_every: usize,
    pub long_work: Duration,
    pub id: String,
    /// The number of bytes in a response's body.
    pub response_bytes: usize,
    pub service: String,
    pub slots: usize,
    pub work: Duration,
    pub zone: String,
}

impl UpstreamOptions {
    /// Returns the words of the command line after the program.
    pub fn to_words(&self) -> Vec<String> {
        vec![
            "upstream".into(),
            self.address.to_string(),
            self.control.to_string(),
            format!("crash={}", self.crash_mark),
            format!("early={}", self.early_mark),
            self.long_every.to_string(),
            self.long_work.as_millis().to_string(),
            self.id.clone(),
            self.response_bytes.to_string(),
            self.service.clone(),
            self.slots.to_string(),
            self.work.as_millis().to_string(),
            self.zone.clone(),
        ]
    }

    /// Reads the words of the command line.
    pub fn parse(words: &[String]) -> Option<Self> {
        let mut words = words.iter();
        let mut next = || words.next().map(String::as_str);
        next().filter(|word| *word == "upstream")?;
        Some(Self {
            address: next()?.parse().ok()?,
            control: next()?.parse().ok()?,
            crash_mark: next()?.strip_prefix("crash=")?.into(),
            early_mark: next()?.strip_prefix("early=")?.into(),
            long_every: next()?.parse().ok()?,
            long_work: Duration::from_millis(next()?.parse().ok()?),
            id: next()?.into(),
            response_bytes: next()?.parse().ok()?,
            service: next()?.into(),
            slots: next()?.parse().ok()?,
            work: Duration::from_millis(next()?.parse().ok()?),
            zone: next()?.into(),
        })
    }
}

struct Upstream {
    has_announced: AtomicBool,
    options: UpstreamOptions,
    run_count: AtomicUsize,
    running: Mutex<usize>,
    slot_freed: Condvar,
    waiting: AtomicUsize,
}

/// Serves until the process is killed, or until the case that started it has ended.
pub fn run(options: UpstreamOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let upstream = Arc::new(Upstream {
        has_announced: AtomicBool::new(false),
        options,
        run_count: AtomicUsize::new(0),
        running: Mutex::new(0),
        slot_freed: Condvar::new(),
        waiting: AtomicUsize::new(0),
    });
    thread::spawn(|| {
        // The case holds the other end of the pipe.
        let _ = io::stdin().read_to_end(&mut Vec::new());
        process::exit(0);
    });
    let announcing = upstream.clone();
    thread::spawn(move || announcing.announce());
    for stream in listener.incoming() {
        let stream = stream?;
        let serving = upstream.clone();
        thread::spawn(move || {
            // The connection ends with any error.
            let _ = serving.serve(&stream);
        });
    }
    Ok(())
}

impl Upstream {
    /// Sends heartbeats to the daemon of the machine.
    fn announce(&self) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = since_epoch.unwrap_or_default().as_millis();
        let options = &self.options;
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":{sequence},\"born\":{born_ms}}}",
                quoted(&options.service),
                options.address,
                quoted(&options.zone),
                options.slots
            );
            let status = self.post_heartbeat(&body).unwrap_or_default();
            let is_first = status == 200 && !self.has_announced.swap(true, Ordering::SeqCst);
            if is_first {
                say(&format!("ready {}", options.id));
            }
            thread::sleep(if self.has_announced.load(Ordering::SeqCst) {
                HEARTBEAT_INTERVAL
            } else {
                FIRST_HEARTBEAT_INTERVAL
            });
        }
    }

    fn post_heartbeat(&self, body: &str) -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&self.options.control, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let text = format!(
            "POST /v1/Instances.Heartbeat/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.options.id,
            self.options.control,
            body.len()
        );
        (&stream).write_all(text.as_bytes())?;
        read(&mut BufReader::new(&stream)).map(|answer| answer.status())
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        loop {
            let mut request = read_head(&mut reader)?;
            let is_early = is_marked(&request, &self.options.early_mark);
            if !is_early {
                read_body(&mut reader, &mut request)?;
            }
            let answer = self.answer(&request);
            let written = writer.write_all(&answer);
            let id = request.header("Request-Id").unwrap_or_default();
            match &written {
                Ok(()) if !id.is_empty() => say(&format!("answered {id} whole")),
                Ok(()) => {}
                Err(error) => say(&format!("not answered {id}: {error}")),
            }
            written?;
            if is_early {
                read_rest(&mut reader, &request)?;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        if request.word(1) == "/health" {
            return self.response(200, "", &[], "");
        }
        let expected = request.header("Target-Instance");
        if expected.is_some_and(|id| id != self.options.id) {
            return self.response(421, "", &[], "");
        }
        let Some(id) = request.header("Request-Id") else {
            return self.response(400, "", &[], "Not-Executed: 1\r\n");
        };
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let running = self.running.lock().unwrap();
        let slots = self.options.slots;
        let mut running = self
            .slot_freed
            .wait_while(running, |running| *running >= slots)
            .unwrap();
        *running += 1;
        drop(running);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let caller = request.header("Caller-Service").unwrap_or_default();
        say(&format!(
            "run {id} {} {} {} bytes, from {caller}",
            request.word(0),
            request.word(1),
            request.body.len()
        ));
        if is_marked(request, &self.options.crash_mark) {
            // The process ends without a word, as one that crashes does.
            process::exit(3);
        }
        thread::sleep(self.next_work());
        *self.running.lock().unwrap() -= 1;
        self.slot_freed.notify_one();
        let body = vec![b'x'; self.options.response_bytes];
        self.response(200, id, &body, "")
    }

    /// Returns how long the next run takes.
    fn next_work(&self) -> Duration {
        let count = self.run_count.fetch_add(1, Ordering::SeqCst) + 1;
        let every = self.options.long_every;
        if every > 0 && count.is_multiple_of(every) {
            return self.options.long_work;
        }
        self.options.work
    }

    fn response(&self, status: u16, id: &str, body: &[u8], extra: &str) -> Vec<u8> {
        let load = format!(
            "{},{},{}",
            self.running.lock().unwrap(),
            self.waiting.load(Ordering::SeqCst),
            self.options.slots
        );
        let identity = if id.is_empty() {
            format!("Instance-Id: {}\r\n", self.options.id)
        } else {
            format!(
                "Request-Id: {id}\r\nResponse-Signature: {}.{id}\r\n",
                self.options.id
            )
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\n{identity}Server-Load: {load}\r\n{extra}Content-Length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body].concat()
    }
}

/// Reads the body of a request that was answered already, and tells of the first bytes in it that its client can't have
/// sent: all bodies consist of one small letter.
fn read_rest(reader: &mut impl BufRead, request: &Message) -> io::Result<()> {
    let id = request.header("Request-Id").unwrap_or_default();
    let length = request.header("Content-Length").unwrap_or_default();
    let length: usize = length.parse().unwrap_or_default();
    let mut rest = length;
    let mut has_told = false;
    while rest > 0 {
        let bytes = reader.fill_buf()?;
        if bytes.is_empty() {
            let read = length - rest;
            say(&format!(
                "ended {id} after {read} of {length} bytes of its body"
            ));
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let bytes = &bytes[..bytes.len().min(rest)];
        if let Some(index) = bytes.iter().position(|byte| *byte != b'u')
            && !has_told
        {
            has_told = true;
            let text = String::from_utf8_lossy(&bytes[index..]);
            let line = text.lines().next().unwrap_or_default();
            say(&format!("foreign {id} in its body: {line}"));
        }
        let read = bytes.len();
        rest -= read;
        reader.consume(read);
    }
    Ok(())
}

fn is_marked(request: &Message, mark: &str) -> bool {
    !mark.is_empty() && request.word(1).contains(mark)
}

/// Tells the case what happened.
fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}
