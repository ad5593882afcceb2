/// The phases of a planned stop. They are compared, so their order matters.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// The readiness check fails and clients' connections are closed after each response; all requests are
    /// still served.
    Stopping,
    /// The gate is reported as not serving, and peers' connections are closed after each response too.
    Leaving,
    /// The process ends; requests without a response are cut off.
    Stopped,
}
