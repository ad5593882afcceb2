use displaydoc::Display;

/// What goes wrong in a modelled run, from its middle on.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallsFault {
    /// cold-herd
    ColdStartAll,
    /// cold-one
    ColdStartOne,
    /// dead
    Dead,
    /// flood
    Flood,
    /// liar
    Misreporting,
    /// none
    None,
    /// slow
    Slow,
    /// unreachable
    Unreachable,
    /// zone-gone
    ZoneDown,
}
