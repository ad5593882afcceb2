use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::{QuotaBounds, RolloutSettings};

/// The decoded and validated settings of one daemon on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The availability zone of the instance.
    pub availability_zone: Rc<str>,
    /// How long requests and retries count towards the retry budget.
    pub budget_window: Duration,
    /// The retries that the fleet may make in a window in addition to those that the ratio allows.
    pub budget_slack: f64,
    /// The retries that the fleet may make per client request in a window.
    pub budget_ratio: f64,
    /// Where the target sends its announcements.
    pub control_address: SocketAddr,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// The bandwidth of the machine's network link, in Mbit/s.
    pub link_mbit_per_s: f64,
    /// The instance's name, for logs and state dumps.
    pub instance: Rc<str>,
    /// Where this daemon receives calls and report datagrams from other daemons.
    pub peer_address: SocketAddr,
    /// Where operators read metrics and state dumps.
    pub administration_address: SocketAddr,
    /// Where clients send their requests.
    pub outbound_address: SocketAddr,
    /// Where the platform checks whether this daemon is ready.
    pub readiness_address: SocketAddr,
    /// How far the fleet may exceed the limits of accounts.
    pub quota: QuotaBounds,
    /// Within what time a removed key has to stop permitting requests on every daemon, whether it can reach the store
    /// or not; none if keys don't expire.
    pub revoke_after: Option<Duration>,
    /// The bounds on staged rollouts; rollouts are off without them.
    pub rollouts: Option<RolloutSettings>,
    /// The service of the target on this instance.
    pub service: Rc<str>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// Where the target on this instance serves.
    pub target_address: SocketAddr,
}

/// The slowest link over which a daemon polls the store itself while other daemons can relay the configuration.
/// The store sends a configuration of 1,000 routes as half a megabyte, which takes 0.1 s at this bandwidth and
/// 0.5 s at 7 Mbit/s, where it delayed clients' requests (docs/design/platform.md).
const FAST_LINK_MBIT_PER_S: f64 = 40.0;

impl SiteSettings {
    /// Returns whether the link is fast enough to poll the store and to relay its configurations.
    #[must_use]
    pub fn has_fast_link(&self) -> bool {
        self.link_mbit_per_s >= FAST_LINK_MBIT_PER_S
    }

    /// Applies the settings that can change while the daemon runs; returns whether all others are unchanged.
    ///
    /// Changes of the others, such as addresses, names and zones, need a restart.
    pub fn apply_reloadable(&mut self, new: &Self) -> bool {
        self.budget_ratio = new.budget_ratio;
        self.budget_slack = new.budget_slack;
        self.budget_window = new.budget_window;
        self.grace = new.grace;
        self == new
    }
}
