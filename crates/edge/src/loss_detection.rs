/// Whether a connection fails if the other end stops acknowledging data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LossDetection {
    Off,
    On,
    /// On again as soon as the other end sends something.
    Suspended,
}
