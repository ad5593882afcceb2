use std::{
    backtrace::Backtrace,
    sync::{Mutex, PoisonError, TryLockError},
};

use crate::fault_injection::await_symbols;

/// Held while a backtrace is captured or its symbols are resolved. The standard library has a lock of its own for both,
/// so a capture would wait until the symbols of another backtrace are resolved.
static CAPTURE_OR_SYMBOLS: Mutex<()> = Mutex::new(());

/// Captures the frames of this thread without their symbols, which takes a fraction of a millisecond; returns none if
/// the symbols of another backtrace are being resolved.
pub(crate) fn try_capture() -> Option<Backtrace> {
    let _guard = match CAPTURE_OR_SYMBOLS.try_lock() {
        Ok(guard) => guard,
        Err(TryLockError::Poisoned(error)) => error.into_inner(),
        Err(TryLockError::WouldBlock) => return None,
    };
    Some(Backtrace::force_capture())
}

/// Returns the text of a backtrace. The first time in a process, this reads the program's debug information, which
/// takes long.
pub(crate) fn resolve(backtrace: &Backtrace) -> String {
    let guard = CAPTURE_OR_SYMBOLS.lock();
    let _guard = guard.unwrap_or_else(PoisonError::into_inner);
    await_symbols();
    backtrace.to_string()
}
