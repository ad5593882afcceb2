use std::time::Duration;

use crate::message_head::ResponseHead;

/// How an exchange is watched for silence.
pub(crate) struct SilenceLimit<'a> {
    /// How long the connection may be silent.
    pub(crate) max_silence: Duration,
    /// Called with the first head after a silence of `max_silence` or more, and with the length of the silence.
    pub(crate) on_end: &'a dyn Fn(&ResponseHead, Duration),
    /// Called after each `max_silence` without a byte.
    pub(crate) on_silence: &'a dyn Fn(),
}
