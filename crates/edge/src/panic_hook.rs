use std::{
    any::Any,
    cell::Cell,
    panic::{PanicHookInfo, set_hook, take_hook},
    sync::{
        Once,
        atomic::{AtomicU64, Ordering},
    },
};

use log::{Level, Record, kv::Value};

use crate::{
    line_log::{MAX_PANIC_FLUSH_TIME, log_with_backtrace, wait_until_written},
    request_scope::current_request_id,
};

/// The number of panics since the start.
static PANIC_COUNT: AtomicU64 = AtomicU64::new(0);

static INSTALLED: Once = Once::new();

thread_local! {
    /// Whether a daemon runs on this thread.
    static IS_DAEMON_THREAD: Cell<bool> = const { Cell::new(false) };
}

/// Returns how many panics there were since the start.
pub(crate) fn panic_count() -> u64 {
    PANIC_COUNT.load(Ordering::Relaxed)
}

/// Has panics of this thread logged, each in one line. Panics of other threads are handled as before.
///
/// The backtrace is captured at once, also of the first panic of two: a panic in unwinding aborts the process, and only
/// the frames of the first one show the cause. Its symbols are resolved on the log's thread, so that other requests go
/// on meanwhile.
pub(crate) fn log_panics_of_this_thread() {
    IS_DAEMON_THREAD.set(true);
    INSTALLED.call_once(|| {
        let previous_hook = take_hook();
        set_hook(Box::new(move |info| {
            if IS_DAEMON_THREAD.get() {
                log_panic(info);
            } else {
                previous_hook(info);
            }
        }));
    });
}

fn log_panic(info: &PanicHookInfo) {
    PANIC_COUNT.fetch_add(1, Ordering::Relaxed);
    let location = info.location().map(ToString::to_string);
    let location = location.unwrap_or_default();
    let id = current_request_id();
    let fields = [
        ("event", Value::from("panic")),
        ("id", Value::from(id.as_str())),
        ("location", Value::from(location.as_str())),
        ("error", Value::from(message(info.payload()))),
    ];
    let record = Record::builder()
        .level(Level::Error)
        .target(module_path!())
        .key_values(&fields)
        .build();
    log_with_backtrace(&record);
    if !can_unwind(info) {
        wait_until_written(MAX_PANIC_FLUSH_TIME);
    }
}

/// Returns whether the process goes on after the panic: it aborts after one that leaves a destructor in unwinding.
fn can_unwind(info: &PanicHookInfo) -> bool {
    // The method of this name isn't stable yet; the field is part of the derived text.
    !format!("{info:?}").contains("can_unwind: false")
}

fn message(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("-")
}
