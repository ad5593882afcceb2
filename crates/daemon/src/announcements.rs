use std::sync::Arc;

use tiny_http::{Method, Request};

use crate::{
    Announcement, control_message::ControlMessage, http_reply::HttpReply, shared_state::SharedState,
};

/// The largest announcement that is read, in bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 16 * 1024;

/// The HTTP server for announcements of the upstream beside this daemon.
pub(crate) struct Announcements {
    pub(crate) shared: Arc<SharedState>,
}

impl Announcements {
    /// Records an announcement that arrives by `PUT /v1/upstream` and answers 204. A malformed announcement
    /// or one of zero slots is refused with 400, any other request with 404.
    pub(crate) fn handle(&self, mut request: Request) {
        let reply = if request.method() == &Method::Put && request.url() == "/v1/upstream" {
            self.announce(&mut request)
        } else {
            HttpReply::text(404, "announce with PUT /v1/upstream\n")
        };
        reply.send(request);
    }

    fn announce(&self, request: &mut Request) -> HttpReply {
        let reader = std::io::Read::take(request.as_reader(), MAX_ANNOUNCEMENT_BYTES);
        match serde_json::from_reader::<_, Announcement>(reader) {
            Err(error) => HttpReply::text(400, &format!("announcement refused: {error}\n")),
            Ok(announcement) if announcement.slots == 0 => HttpReply::text(
                400,
                "announcement refused: field slots: `0` serves nobody\n",
            ),
            Ok(announcement) => {
                let now = self.shared.clock.now();
                self.shared
                    .local_upstream
                    .announce(announcement.clone(), now);
                self.shared
                    .send_to_control(ControlMessage::UpstreamAnnounced(announcement));
                HttpReply::text(204, "")
            }
        }
    }
}
