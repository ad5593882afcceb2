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
        Ok(announcement) => {
            let is_known = app
                .core
                .with(|node, cx| node.handle_announcement(cx, &announcement));
            if !is_known {
                let service = announcement.service.as_deref().unwrap_or_default();
                log::warn!(event = "announcement-unknown", target = &*announcement.id, service = service; "");
            }
            is_known
        }
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
