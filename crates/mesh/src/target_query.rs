use std::{net::SocketAddr, time::Duration};

use crate::RouteKey;

/// A request for a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The run time assumed where none was measured.
    pub assumed_run: Duration,
    /// The daemons that were tried already.
    pub excluded: &'a [SocketAddr],
    /// The rank of the request.
    pub rank: u32,
    /// The route of the request.
    pub route: RouteKey,
    /// The service of the target.
    pub service: &'a str,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
}
