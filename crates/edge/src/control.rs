use std::rc::Rc;

use medlarspool_adapter::ControlCall;

use crate::{app::App, incoming_request::IncomingRequest, reply::Reply};

/// Serves the target's announcements: heartbeats and deregistrations. Replies 404 to other requests, and 400 to
/// an announcement that is invalid or names a service that isn't configured.
pub(crate) async fn serve_target(app: Rc<App>, incoming: IncomingRequest) -> Reply {
    let method = std::str::from_utf8(&incoming.head.method).unwrap_or_default();
    let path = std::str::from_utf8(&incoming.head.request_target).unwrap_or_default();
    let announcement = match ControlCall::parse(method, path) {
        Some(ControlCall::Heartbeat(id)) => {
            medlarspool_adapter::decode_announcement(id, &incoming.body)
        }
        Some(ControlCall::Deregistration(id)) => {
            medlarspool_adapter::decode_deregistration(id, &incoming.body)
        }
        None => return Reply::status(404),
    };
    let is_acknowledged = match announcement {
        Ok(announcement) => app
            .core
            .with(|node, cx| node.handle_announcement(cx, &announcement)),
        Err(error) => {
            log::warn!(event = "announcement-invalid", error = error.to_string().as_str(); "");
            false
        }
    };
    if is_acknowledged {
        Reply::json("{}")
    } else {
        Reply::status(400)
    }
}
