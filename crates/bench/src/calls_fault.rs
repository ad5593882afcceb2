use displaydoc::Display;

/// What goes wrong in a modelled run, from its middle on.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallsFault {
    /// cold-herd
    ColdHerd,
    /// cold-one
    ColdOne,
    /// dead
    Dead,
    /// flood
    Flood,
    /// liar
    Liar,
    /// none
    None,
    /// slow
    Slow,
    /// unreachable
    Unreachable,
    /// zone-gone
    ZoneGone,
}
