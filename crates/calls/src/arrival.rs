/// How a gate takes a call that just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// Its channel is closed, so it was given up and must not run.
    ChannelClosed,
    /// It was fenced before it arrived and must not run.
    Fenced,
    /// The call arrived before; the second arrival must not run, the first one may have.
    Known,
    /// It may run.
    New,
}
