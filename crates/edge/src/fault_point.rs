use displaydoc::Display;

/// A place at which tests can have a daemon fail.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FaultPoint {
    // A panic inside the core, while the gate decides about a request.
    /// core
    Core,
    // A panic of an entry that has a request in flight.
    /// entry
    Entry,
    // A panic of a gate while the request holds a slot.
    /// gate
    Gate,
    // A panic while a peer's report is handled inside the core.
    /// report
    Report,
    // A panic in a planned stop, which nothing contains.
    /// stop
    Stop,
    // A panic of the task that follows the store.
    /// store-feed
    StoreFeed,
    // A panic in the periodic timer.
    /// tick
    Tick,
    // A guard that is dropped in the periodic timer, inside the core.
    /// tick-guard
    TickGuard,
}
