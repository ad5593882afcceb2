use std::time::Duration;

use crate::message_head::ResponseHead;

/// When an exchange is given up because no bytes come.
pub(crate) struct SilenceLimit<'a> {
    /// Whether the exchange may be given up now; asked after each `max_silence` without a byte.
    pub(crate) may_give_up: &'a dyn Fn() -> bool,
    /// How long the connection may be silent.
    pub(crate) max_silence: Duration,
    /// Called with the first head after a silence of `max_silence` or more, and with the length of the silence.
    pub(crate) on_end: &'a dyn Fn(&ResponseHead, Duration),
}
