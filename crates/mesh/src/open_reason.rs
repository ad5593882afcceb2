use displaydoc::Display;

/// Why there is no verdict on a version yet.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum OpenReason {
    /// there are more bad answers than of the old version, but noise is the likelier explanation
    LikelyNoise,
    /// bad answers come from one target alone
    OneTarget,
    /// there are more bad answers than of the old version, but too few to be sure
    Suspicious,
    /// there are too few runs
    ThinSample,
}
