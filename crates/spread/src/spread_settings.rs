use std::time::Duration;

use fastrand::Rng;

use crate::{SpreadMode, SpreadPreference};

/// The settings of the dissemination of changes; `docs/design/spread.md` explains their values.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadSettings {
    /// The copies of a change that a push sends to each other availability zone of the region and to each
    /// other region.
    pub copies_per_remote_group: usize,
    /// The most bytes of updates in one datagram, their framing included.
    pub datagram_update_bytes: usize,
    /// The mean interval between two digests that one daemon sends.
    pub digest_interval: Duration,
    /// How many daemons of its own availability zone a daemon pushes a change to.
    pub fan_out: usize,
    /// The timeout of a fetch and of building a snapshot from updates.
    pub fetch_timeout: Duration,
    /// The upper bound of the random delay before a daemon's first read of the head, so that daemons
    /// that start together don't read at once.
    pub join_spread: Duration,
    /// The most bytes of recent updates that a daemon keeps for peers that are behind.
    pub max_log_bytes: usize,
    /// The most transfers that one daemon serves at the same time.
    pub max_transfers_in_flight: usize,
    /// The lower bound of the mean interval between two reads of the head by one daemon in
    /// [`SpreadMode::SharedBudget`].
    pub min_poll_interval: Duration,
    /// How the fleet learns that the store holds a newer version.
    pub mode: SpreadMode,
    /// How long a starting daemon collects its peers' heads before they may confirm a version in place
    /// of a store that doesn't answer.
    pub peer_confirm_wait: Duration,
    /// The mean interval between two reads of the head by one daemon in [`SpreadMode::Poll`].
    pub poll_interval: Duration,
    /// The mean delay between learning of a newer version from another daemon and the first attempt to
    /// get it, in which the push usually arrives.
    pub pull_delay: Duration,
    /// How long a daemon waits for the answer to a pull before the attempt counts as failed.
    pub pull_timeout: Duration,
    /// The least interval between two pushes of one daemon; changes in between share datagrams.
    pub relay_interval: Duration,
    /// The reads of the head per second that the whole fleet shares.
    pub store_reads_per_second: u32,
    /// The interval between two checks of the lists in use against their digest.
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

    /// Draws the delay before the first attempt to get a newly known version, with mean `pull_delay`.
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
            max_log_bytes: 256 * 1024,
            max_transfers_in_flight: 2,
            min_poll_interval: Duration::from_secs(1),
            mode: SpreadMode::SharedBudget,
            peer_confirm_wait: Duration::from_secs(2),
            poll_interval: Duration::from_secs(2),
            pull_delay: Duration::from_millis(100),
            pull_timeout: Duration::from_millis(200),
            relay_interval: Duration::from_millis(20),
            store_reads_per_second: 10,
            verify_interval: Duration::from_mins(1),
        }
    }
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self::for_preference(SpreadPreference::default())
    }
}
