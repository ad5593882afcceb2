use medlarspool_types::ServiceName;

/// The announcement that the local upstream made to this daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAnnouncement {
    /// Whether it is still warming up.
    pub cold: bool,
    /// Increases with each restart of the upstream beside this daemon.
    pub generation: u64,
    /// The service that it offers.
    pub service: ServiceName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
}
