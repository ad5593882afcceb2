use medlarspool_types::ServiceName;

/// The announcement that the local upstream made to this daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAnnouncement {
    /// Whether the upstream is still warming up.
    pub cold: bool,
    /// Increases with each restart of the upstream beside this daemon.
    pub generation: u64,
    /// The service that the upstream offers.
    pub service: ServiceName,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
}
