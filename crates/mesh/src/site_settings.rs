use std::{net::SocketAddr, rc::Rc, time::Duration};

/// The settings of one daemon on the users' platform, decoded and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The availability zone of the instance.
    pub availability_zone: Rc<str>,
    /// The window of the retry budget.
    pub budget_window: Duration,
    /// The repeats that a fleet may make in a window beside the ratio.
    pub budget_slack: f64,
    /// The repeats that a fleet may make for each request.
    pub budget_ratio: f64,
    /// Where the target announces itself.
    pub control_address: SocketAddr,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// The speed of the machine's link, in Mbit/s.
    pub link_mbit_per_s: f64,
    /// The instance's name.
    pub instance: Rc<str>,
    /// Where this daemon takes calls, reports and datagrams of other daemons.
    pub peer_address: SocketAddr,
    /// Where operators read metrics and the dump.
    pub administration_address: SocketAddr,
    /// Where clients send their requests.
    pub outbound_address: SocketAddr,
    /// Where the platform asks whether this daemon is ready.
    pub readiness_address: SocketAddr,
    /// The service of the target on this instance.
    pub service: Rc<str>,
    /// Where the platform's store is.
    pub store_address: SocketAddr,
    /// Where the target on this instance serves.
    pub target_address: SocketAddr,
}

/// The slowest link over which a daemon follows the store by itself if others can relay. A configuration of
/// 1,000 routes is half a megabyte as the store sends it: 0.1 s at this speed, and 0.5 s at 7 Mbit/s, where it
/// held up the callers' requests (docs/design/platform.md).
const FAST_LINK_MBIT_PER_S: f64 = 40.0;

impl SiteSettings {
    /// Returns whether the link is fast enough to follow the store and to relay its configurations.
    #[must_use]
    pub fn has_fast_link(&self) -> bool {
        self.link_mbit_per_s >= FAST_LINK_MBIT_PER_S
    }

    /// Takes over what a running daemon can follow; returns whether all the rest is as it was.
    ///
    /// Addresses, names and zones hold until the next start.
    pub fn apply_reloadable(&mut self, new: &Self) -> bool {
        self.budget_ratio = new.budget_ratio;
        self.budget_slack = new.budget_slack;
        self.budget_window = new.budget_window;
        self.grace = new.grace;
        self == new
    }
}
