use medlarspool_types::ServiceName;

/// What the local upstream announced to this daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAnnouncement {
    /// Whether it still warms up.
    pub cold: bool,
    /// Counts the lives of the upstream beside this daemon.
    pub generation: u64,
    /// The service that it offers.
    pub service: ServiceName,
    /// The requests that it runs at once.
    pub slots: u32,
}
