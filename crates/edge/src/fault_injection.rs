//! Faults that tests inject. The release builds as shipped don't have the feature `fault-injection`, and without it
//! nothing can be injected.

use crate::fault_point::FaultPoint;

#[cfg(feature = "fault-injection")]
mod injector {
    use std::{
        cell::RefCell,
        rc::Rc,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::Duration,
    };

    use crate::{fault_point::FaultPoint, units::millis};

    /// Decides whether the fault at a point occurs, for the request with this id if there is one.
    pub(crate) type Injector = Rc<dyn Fn(FaultPoint, &str) -> bool>;

    /// By how much the symbols of each backtrace are delayed.
    static SYMBOL_DELAY_MS: AtomicU64 = AtomicU64::new(0);

    thread_local! {
        static INJECTOR: RefCell<Option<Injector>> = const { RefCell::new(None) };
    }

    /// Sets what decides about faults of the daemon on this thread.
    pub(crate) fn set_injector(injector: Injector) {
        INJECTOR.set(Some(injector));
    }

    /// Has the symbols of each backtrace of this process resolved later by `delay`, as if debug information had to be
    /// read from a slow disk.
    pub fn delay_symbols(delay: Duration) {
        SYMBOL_DELAY_MS.store(millis(delay), Ordering::Relaxed);
    }

    pub(crate) fn await_symbols() {
        let delay = Duration::from_millis(SYMBOL_DELAY_MS.load(Ordering::Relaxed));
        thread::sleep(delay);
    }

    pub(crate) fn is_injected(point: FaultPoint, id: &str) -> bool {
        let injector = INJECTOR.with_borrow(Clone::clone);
        injector.is_some_and(|injector| injector(point, id))
    }
}

#[cfg(feature = "fault-injection")]
pub use injector::delay_symbols;
#[cfg(feature = "fault-injection")]
pub(crate) use injector::{await_symbols, is_injected, set_injector};

/// Waits for as long as a test delays the symbols of backtraces.
#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn await_symbols() {}

/// Returns whether a test wants the fault at this point.
#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn is_injected(_point: FaultPoint, _id: &str) -> bool {
    false
}

/// Panics if a test wants a panic at this point.
pub(crate) fn reach(point: FaultPoint, id: &str) {
    assert!(
        !is_injected(point, id),
        "a test injected the fault `{point}`"
    );
}
