/// Whether a call that just arrived at a gate may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// Its channel is closed, so its entry may have given it up: it must not run.
    ChannelClosed,
    /// It was fenced before it arrived, so it must not run.
    Fenced,
    /// A call with this id arrived before. This arrival must not run; the first one may have run.
    Known,
    /// It may run.
    New,
}
