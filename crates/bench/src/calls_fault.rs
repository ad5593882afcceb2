use displaydoc::Display;

/// The fault of a modelled run, displayed as its label in figure names.
///
/// Where only one upstream is affected, it is the first of each service. `ColdStartAll` and `ColdStartOne`
/// restart all upstreams or one, and they are slow at first; `Dead` ends one, which membership declares dead;
/// `Unreachable` cuts one off, which membership never declares dead; `Slow` slows one down; `ZoneDown` ends all
/// upstreams and entries of one zone. These begin in the middle of the run. `Flood`, one customer's excess of
/// requests, and `Misreporting`, one upstream that announces too many slots and reports no load, last the whole
/// run.
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
