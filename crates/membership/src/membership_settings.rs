use std::time::Duration;

/// The intervals and limits of membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// The maximum interval between comparisons of the view's digest with a peer's. The interval starts
    /// shorter, and each match doubles it up to this one.
    pub digest_interval: Duration,
    /// How often a daemon requests the details of each service that it routes to.
    pub detail_interval: Duration,
    /// The number of peers to which updates are pushed in each gossip interval.
    pub gossip_fanout: usize,
    /// How often updates are pushed while any are queued.
    pub gossip_interval: Duration,
    /// The maximum average bytes of gossip that a daemon sends in a second.
    pub gossip_bytes_per_second: u32,
    /// How long this daemon's lease is valid after an answered probe was sent.
    pub lease: Duration,
    /// How often one dead member is probed, so that the sides of a partition find each other when it
    /// ends.
    pub reconnect_interval: Duration,
    /// The maximum pages of state that a daemon sends in a second.
    pub pages_per_second: u32,
    /// The delay before the next page of state is requested once one has arrived.
    pub page_interval: Duration,
    /// The protocol period: how often one member is probed.
    pub probe_interval: Duration,
    /// How long a probe waits for a direct ack before indirect probes are sent.
    pub probe_timeout: Duration,
    /// The number of peers that are asked for an indirect probe of a member that did not acknowledge a ping.
    pub indirect_probe_count: usize,
    /// How long a seed row is valid without being renewed.
    pub seed_lease: Duration,
    /// The average interval between reads of an availability zone's seed rows, by all of its daemons
    /// together.
    pub seed_read_interval: Duration,
    /// The number of seed rows of an availability zone.
    pub seed_slot_count: u8,
    /// How long the records of members that are dead or have left are retained.
    pub tombstone_retention: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            digest_interval: Duration::from_secs(30),
            detail_interval: Duration::from_secs(10),
            gossip_fanout: 4,
            gossip_interval: Duration::from_millis(200),
            gossip_bytes_per_second: 4_000,
            lease: Duration::from_secs(3),
            reconnect_interval: Duration::from_secs(5),
            pages_per_second: 8,
            page_interval: Duration::from_millis(100),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_probe_count: 3,
            seed_lease: Duration::from_mins(5),
            seed_read_interval: Duration::from_secs(10),
            seed_slot_count: 3,
            tombstone_retention: Duration::from_hours(2),
        }
    }
}
