use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::AnnouncedState;

/// One heartbeat of a target, or its farewell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Where the target serves; absent from a farewell.
    pub address: Option<SocketAddr>,
    /// The Unix millisecond of the target's start; 0 if it wasn't told.
    pub born_ms: u64,
    /// How much longer the target is slow after its start.
    pub cold_remaining: Duration,
    /// The target's id.
    pub id: Rc<str>,
    /// Increases with each announcement of one life.
    pub sequence: u64,
    /// The service that the target belongs to; absent from a farewell.
    pub service: Option<Rc<str>>,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// What the target says of itself.
    pub state: AnnouncedState,
}
