use std::{
    io::Write,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use log::{
    Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource, VisitValue},
};
use serde_json::{Map, Value as Json};

use crate::{log_line::LogLine, panic_backtrace::try_capture, units::millis};

/// The most lines that wait to be written; further ones are dropped.
const MAX_WAITING_LINES: usize = 512;

/// The most lines written in a second, so that many failing requests don't flood the log.
const MAX_LINES_PER_S: u64 = 200;

/// How many lines a second that are not about one request are written beyond [`MAX_LINES_PER_S`], so that
/// many refused requests don't hide lines about the process itself.
const MAX_EXTRA_PROCESS_LINES_PER_S: u64 = 20;

/// The longest wait of a process that ends by a panic for its last lines.
pub(crate) const MAX_PANIC_FLUSH_TIME: Duration = Duration::from_secs(2);

/// The interval between checks for lines that wait to be written.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What a line about a panic has in place of a backtrace that couldn't be captured at once.
const NO_BACKTRACE: &str = "not captured while that of another panic was resolved";

/// The size of the stack of the log's thread; the resolution of symbols takes the most.
const STACK_BYTES: usize = 512 << 10;

/// The logger of this process, once it is installed.
static INSTALLED: OnceLock<LineLog> = OnceLock::new();

/// The number of lines dropped since the start.
static DROPPED_LINE_COUNT: AtomicU64 = AtomicU64::new(0);

/// The number of lines that wait to be written.
static WAITING_LINE_COUNT: AtomicU64 = AtomicU64::new(0);

/// A logger that writes one JSON object a line to standard output.
///
/// A separate thread writes, so that neither standard output that nobody reads nor the symbols of a backtrace
/// block the event loop. Lines beyond the limits are dropped and counted; the next line that is written has the
/// count of all dropped lines.
pub(crate) struct LineLog {
    level: log::LevelFilter,
    line_sender: SyncSender<LogLine>,
    /// The number of lines of this second beyond [`MAX_LINES_PER_S`] that are not about one request.
    extra_process_line_count: AtomicU64,
    /// The present second, counted from the start.
    current_second: AtomicU64,
    started_at: Instant,
    /// The number of dropped lines that the latest line with a `dropped` field gave.
    reported_dropped_count: AtomicU64,
    /// The number of lines of this second, dropped ones included.
    line_count_this_second: AtomicU64,
}

/// Returns how many lines were dropped since the start.
pub(crate) fn dropped_count() -> u64 {
    DROPPED_LINE_COUNT.load(Ordering::Relaxed)
}

/// Logs a panic of this thread as a record and its backtrace, whose symbols are resolved when the line is written.
///
/// This does nothing if no [`LineLog`] is installed.
pub(crate) fn log_with_backtrace(record: &Record) {
    if let Some(log) = INSTALLED.get() {
        log.send(record, true);
    }
}

/// Returns whether lines wait to be written.
pub(crate) fn has_waiting() -> bool {
    WAITING_LINE_COUNT.load(Ordering::Relaxed) > 0
}

/// Waits until no line waits to be written, for `max_wait` at most, since nobody may be reading them.
pub(crate) fn wait_until_written(max_wait: Duration) {
    let deadline = Instant::now() + max_wait;
    while has_waiting() && Instant::now() < deadline {
        thread::sleep(WRITE_CHECK_INTERVAL);
    }
}

impl LineLog {
    /// Creates the logger, and the receiver of lines for the thread that writes them.
    pub(crate) fn new(level: log::LevelFilter) -> (Self, Receiver<LogLine>) {
        let (line_sender, receiver) = sync_channel(MAX_WAITING_LINES);
        let log = Self {
            level,
            line_sender,
            extra_process_line_count: AtomicU64::new(0),
            current_second: AtomicU64::new(0),
            started_at: Instant::now(),
            reported_dropped_count: AtomicU64::new(0),
            line_count_this_second: AtomicU64::new(0),
        };
        (log, receiver)
    }

    /// Installs the logger for the whole process and starts its thread.
    pub(crate) fn install(level: log::LevelFilter) {
        let (log, receiver) = Self::new(level);
        let write = move || write_lines(&receiver, &mut std::io::stdout());
        let spawned = thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(write);
        if spawned.is_ok()
            && INSTALLED.set(log).is_ok()
            && let Some(installed) = INSTALLED.get()
            && log::set_logger(installed).is_ok()
        {
            log::set_max_level(level);
        }
    }

    /// Counts a line and returns whether it exceeds the limits of this second.
    fn exceeds_rate(&self, has_request_id: bool) -> bool {
        let current_second = self.started_at.elapsed().as_secs();
        if self.current_second.swap(current_second, Ordering::Relaxed) != current_second {
            self.extra_process_line_count.store(0, Ordering::Relaxed);
            self.line_count_this_second.store(0, Ordering::Relaxed);
        }
        if self.line_count_this_second.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S {
            return false;
        }
        has_request_id
            || self
                .extra_process_line_count
                .fetch_add(1, Ordering::Relaxed)
                >= MAX_EXTRA_PROCESS_LINES_PER_S
    }

    /// Hands a record over to be written, with a backtrace of this thread if it `has_backtrace`; drops it if it exceeds
    /// the limits.
    fn send(&self, record: &Record, has_backtrace: bool) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let has_request_id = record.key_values().get(Key::from("id")).is_some();
        if self.exceeds_rate(has_request_id) {
            DROPPED_LINE_COUNT.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut fields = Fields(Map::new());
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let insert =
            |fields: &mut Fields, key: &str, value: Json| fields.0.insert(key.into(), value);
        insert(&mut fields, "at_ms", millis(since_epoch).into());
        insert(&mut fields, "level", record.level().as_str().into());
        let message = record.args().to_string();
        if !message.is_empty() {
            insert(&mut fields, "message", message.into());
        }
        if record.key_values().visit(&mut fields).is_err() {
            insert(&mut fields, "unreadable", true.into());
        }
        let dropped_count = dropped_count();
        if dropped_count
            != self
                .reported_dropped_count
                .swap(dropped_count, Ordering::Relaxed)
        {
            insert(&mut fields, "dropped", dropped_count.into());
        }
        let backtrace = if has_backtrace { try_capture() } else { None };
        if has_backtrace && backtrace.is_none() {
            insert(&mut fields, "backtrace", NO_BACKTRACE.into());
        }
        let Fields(fields) = fields;
        let line = match backtrace {
            None => LogLine::Text(Json::Object(fields).to_string()),
            Some(backtrace) => LogLine::WithBacktrace { backtrace, fields },
        };
        WAITING_LINE_COUNT.fetch_add(1, Ordering::Relaxed);
        if self.line_sender.try_send(line).is_err() {
            DROPPED_LINE_COUNT.fetch_add(1, Ordering::Relaxed);
            WAITING_LINE_COUNT.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines until the logger is dropped.
pub(crate) fn write_lines(lines: &Receiver<LogLine>, output: &mut impl Write) {
    while let Ok(line) = lines.recv() {
        if writeln!(output, "{}", line.into_text()).is_err() {
            DROPPED_LINE_COUNT.fetch_add(1, Ordering::Relaxed);
        }
        WAITING_LINE_COUNT.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Log for LineLog {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record) {
        self.send(record, false);
    }

    fn flush(&self) {}
}

/// The fields of a log line as JSON; filled from the key-value pairs of its record.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut presence = Presence::default();
        value.visit(&mut presence)?;
        if presence.is_absent {
            return Ok(());
        }
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().into(), value);
        Ok(())
    }
}

/// Finds out whether a value is absent, so that its key is left out of the line.
#[derive(Default)]
struct Presence {
    is_absent: bool,
}

impl VisitValue<'_> for Presence {
    fn visit_any(&mut self, _: Value<'_>) -> Result<(), Error> {
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        self.is_absent = true;
        Ok(())
    }
}
