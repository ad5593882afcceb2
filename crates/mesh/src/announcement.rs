use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::AnnouncedState;

/// A heartbeat or a deregistration that a target sends to the daemon beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Where the target serves; absent from a deregistration.
    pub address: Option<SocketAddr>,
    /// The target's start in Unix milliseconds; 0 if the announcement doesn't contain it.
    pub born_ms: u64,
    /// The remaining warm-up time, in which the target is slow; no decision uses it.
    pub cold_remaining: Duration,
    /// The target's id.
    pub id: Rc<str>,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// The service that the target belongs to; absent from a deregistration.
    pub service: Option<Rc<str>>,
    /// How many requests the target runs concurrently.
    pub slots: u32,
    /// The state that the target announces; `Gone` in a deregistration.
    pub state: AnnouncedState,
    /// The version of the target's software; empty if the announcement doesn't contain it.
    pub version: Rc<str>,
}
