use std::time::Duration;

/// How silence on a connection is taken.
pub(crate) struct SilenceLimit<'a> {
    /// Whether the exchange is given up after a silence; asked again after each further one.
    pub(crate) may_give_up: &'a dyn Fn() -> bool,
    /// How long no byte may come.
    pub(crate) max_silence: Duration,
}
