use std::{net::SocketAddr, rc::Rc, time::Duration};

/// The target chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    /// The address of the daemon beside the target.
    pub address: SocketAddr,
    /// Whether the target's version is being rolled out.
    pub is_canary: bool,
    /// The target's id.
    pub target_id: Rc<str>,
    /// How long the request may wait at the gate before another target is the better choice; none if there is no
    /// other target.
    pub max_wait: Option<Duration>,
    /// How long the request is expected to wait at the gate.
    pub expected_wait: Duration,
}
