use std::panic::{AssertUnwindSafe, catch_unwind};

/// Calls a function and returns its result, or `None` if it panicked.
///
/// The panic hook has logged the panic by then. State that the function shares with others may be half changed, so
/// this is used only where the work of others must go on all the same; see `docs/design/platform.md`.
pub(crate) fn contain<R>(function: impl FnOnce() -> R) -> Option<R> {
    catch_unwind(AssertUnwindSafe(function)).ok()
}
