use std::time::Duration;

/// The timings and bounds of membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// How often views are compared with one peer once they agree.
    pub digest_interval: Duration,
    /// How often a daemon asks for the detail of each service that it routes to.
    pub detail_interval: Duration,
    /// The peers to which news goes at each gossip tick.
    pub gossip_fanout: usize,
    /// How often news is pushed while there is any.
    pub gossip_interval: Duration,
    /// The bytes of news that a daemon sends in a second over time.
    pub gossip_bytes_per_second: u32,
    /// How long an answered probe keeps this daemon's lease.
    pub lease: Duration,
    /// How often one dead member is probed, so that separated parts find each other.
    pub reconnect_interval: Duration,
    /// The pages of state that a daemon gives in a second.
    pub pages_per_second: u32,
    /// The time between two pages that a joiner asks for.
    pub page_interval: Duration,
    /// The protocol period: how often one member is probed.
    pub probe_interval: Duration,
    /// How long to wait for an answer before others are asked to probe too.
    pub probe_timeout: Duration,
    /// The peers asked to probe a silent member.
    pub indirect_probes: usize,
    /// How long a seed row counts without being renewed.
    pub seed_lease: Duration,
    /// How often the daemons of an availability zone together read its seed rows.
    pub seed_read_interval: Duration,
    /// The seed rows of an availability zone.
    pub seed_slots: u8,
    /// How long the dead are remembered.
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
            indirect_probes: 3,
            seed_lease: Duration::from_mins(5),
            seed_read_interval: Duration::from_secs(10),
            seed_slots: 3,
            tombstone_retention: Duration::from_hours(2),
        }
    }
}
