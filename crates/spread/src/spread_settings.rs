use std::time::Duration;

use fastrand::Rng;

use crate::{SpreadMode, SpreadPreference};

/// The settings of the spreading of changes; see `docs/design/spread.md` for how they were chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadSettings {
    /// How many daemons of each other availability zone and region get a change directly.
    pub copies_per_remote_group: usize,
    /// The room for updates in one datagram, in bytes.
    pub datagram_update_bytes: usize,
    /// The mean time between two digests of one daemon.
    pub digest_interval: Duration,
    /// How many daemons of its own availability zone a daemon hands a change on to.
    pub fan_out: usize,
    /// How long a transfer or the building of a snapshot may take before it counts as failed.
    pub fetch_timeout: Duration,
    /// The time over which daemons that start together spread their first read of the head.
    pub join_spread: Duration,
    /// The most bytes of recent updates that a daemon keeps for peers that are behind.
    pub log_max_bytes: usize,
    /// How the fleet learns of a newer version.
    pub mode: SpreadMode,
    /// How long a starting daemon listens to its peers when the store doesn't answer.
    pub peer_confirm_wait: Duration,
    /// The interval between two reads of the head in [`SpreadMode::Poll`].
    pub poll_interval: Duration,
    /// The least mean interval between two reads by one daemon in [`SpreadMode::SharedBudget`].
    pub poll_interval_min: Duration,
    /// How long a daemon that heard of a newer version waits for the push before it asks for it.
    pub pull_delay: Duration,
    /// How long a daemon waits for the answer to a pull.
    pub pull_timeout: Duration,
    /// The least time between two pushes of one daemon; changes in between share a datagram.
    pub relay_interval: Duration,
    /// The reads of the head in a second that the whole fleet shares.
    pub store_reads_per_second: u32,
    /// The most transfers that one daemon gives at the same time.
    pub transfers_in_flight_max: usize,
    /// The time between two checks of a daemon's own lists against their digest.
    pub verify_interval: Duration,
}

impl SpreadSettings {
    /// Returns the defaults for a preference.
    #[must_use]
    pub fn for_preference(preference: SpreadPreference) -> Self {
        match preference {
            SpreadPreference::ControlBytes => Self {
                copies_per_remote_group: 1,
                digest_interval: Duration::from_secs(1),
                fan_out: 3,
                relay_interval: Duration::from_millis(100),
                store_reads_per_second: 4,
                ..Self::common()
            },
            SpreadPreference::Convergence => Self::common(),
        }
    }

    /// Draws how long the first pull of a newly heard version waits for the push.
    pub(crate) fn draw_pull_delay(&self, random: &mut Rng) -> Duration {
        self.pull_delay.mul_f64(0.5 + random.f64())
    }

    fn common() -> Self {
        Self {
            copies_per_remote_group: 2,
            datagram_update_bytes: 1_000,
            digest_interval: Duration::from_millis(500),
            fan_out: 4,
            fetch_timeout: Duration::from_secs(3),
            join_spread: Duration::from_secs(3),
            log_max_bytes: 256 * 1024,
            mode: SpreadMode::SharedBudget,
            peer_confirm_wait: Duration::from_secs(2),
            poll_interval: Duration::from_secs(2),
            poll_interval_min: Duration::from_secs(1),
            pull_delay: Duration::from_millis(100),
            pull_timeout: Duration::from_millis(200),
            relay_interval: Duration::from_millis(20),
            store_reads_per_second: 10,
            transfers_in_flight_max: 2,
            verify_interval: Duration::from_mins(1),
        }
    }
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self::for_preference(SpreadPreference::default())
    }
}
