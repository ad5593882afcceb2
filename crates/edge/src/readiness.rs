use std::rc::Rc;

use crate::{app::App, incoming_request::IncomingRequest, reply::Reply, stop_phase::StopPhase};

/// Answers the platform's readiness checks: a daemon is ready if it has a configuration, knows a holder of
/// accounts' quotas where there are any, and is not stopping.
pub(crate) async fn serve_readiness(app: Rc<App>, incoming: IncomingRequest) -> Reply {
    if *incoming.head.request_target != *medlarspool_adapter::READINESS_PATH.as_bytes() {
        return Reply::status(404);
    }
    let is_ready = app.stop_phase.get() == StopPhase::Serving
        && app
            .core
            .with(|node, cx| node.config.is_some() && node.knows_holders(cx.now()));
    Reply::status(if is_ready { 200 } else { 503 })
}
