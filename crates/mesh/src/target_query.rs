use std::{net::SocketAddr, time::Duration};

use crate::{CanaryChoice, RouteKey, ServiceVersions};

/// What the choice of a target for a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The run time assumed for targets where none was measured.
    pub assumed_run_time: Duration,
    /// How the request uses the targets of a version that is being rolled out.
    pub canary: CanaryChoice,
    /// The daemons that are not to be chosen, since the request was sent to them before.
    pub excluded_daemons: &'a [SocketAddr],
    /// Whether a target makes the request while it runs another one.
    pub is_call: bool,
    /// Whether the response is large, so that the links of the targets' machines matter.
    pub is_download: bool,
    /// The rank of the request, where 0 is the most urgent.
    pub rank: u32,
    /// The route of the request.
    pub route: RouteKey,
    /// The service that the target has to belong to.
    pub service: &'a str,
    /// The desired latency of the route, by which the cost of other zones and of failures is scaled.
    pub target_latency: Duration,
    /// Which versions of the service may get requests; none if all may.
    pub versions: Option<&'a ServiceVersions>,
}
