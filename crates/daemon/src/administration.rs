use std::{
    sync::{Arc, mpsc},
    time::Duration,
};

use serde_json::{Value, json};
use tiny_http::Request;

use crate::{
    call_decisions::CallDecisions, control_message::ControlMessage, http_reply::HttpReply,
    shared_state::SharedState,
};

/// How long a page waits for the control thread's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the status page waits for the members' heads.
const HEADS_WAIT: Duration = Duration::from_millis(300);

/// The HTTP server for operators and metrics scrapers, on an address of its own.
pub(crate) struct Administration {
    pub(crate) decisions: Arc<CallDecisions>,
    pub(crate) shared: Arc<SharedState>,
}

impl Administration {
    /// Answers one request; all paths but the two health checks need the operators' token.
    pub(crate) fn handle(&self, request: Request) {
        let reply = match request.url() {
            "/healthz" => HttpReply::text(200, "alive\n"),
            "/readyz" => self.readiness_reply(),
            _ if !self.is_authorised(&request) => {
                HttpReply::text(401, "the operators' token is missing or wrong\n")
            }
            "/dump" => self.dump(),
            "/metrics" => HttpReply {
                body: self.shared.metrics.text(),
                headers: Vec::new(),
                status: 200,
            },
            "/status" => self.status(),
            _ => HttpReply::text(404, "no such page\n"),
        };
        reply.send(request);
    }

    fn is_authorised(&self, request: &Request) -> bool {
        let expected = format!("Bearer {}", self.shared.settings.operator_token);
        request
            .headers()
            .iter()
            .any(|header| header.field.equiv("authorization") && header.value.as_str() == expected)
    }

    /// Returns the dump page: the state of the process, without any secret.
    fn dump(&self) -> HttpReply {
        let shared = &self.shared;
        let dump = json!({
            "availability_zone": shared.settings.availability_zone,
            "config": shared.config_head(),
            "decisions": self.decisions.dump(),
            "directory": **shared.directory.load(),
            "draining": shared.is_draining(),
            "incarnation": shared.incarnation,
            "instance": shared.settings.instance,
            "membership": self.ask_control(ControlMessage::DumpMembers),
            "region": shared.settings.region,
            "spread": {
                "announced": shared.spread.load().announced,
                "counters": shared.spread.load().counters,
                "readiness": shared.spread.load().readiness.to_string(),
            },
        });
        HttpReply::json(200, &dump)
    }

    /// Sends the control thread a message that carries the sender for its answer. Returns `None` if no answer
    /// comes within [`ANSWER_TIMEOUT`].
    fn ask_control(
        &self,
        message: impl FnOnce(mpsc::Sender<Value>) -> ControlMessage,
    ) -> Option<Value> {
        let (answer_sender, answer_receiver) = mpsc::channel();
        self.shared.send_to_control(message(answer_sender));
        answer_receiver.recv_timeout(ANSWER_TIMEOUT).ok()
    }

    /// Returns 200 if the daemon is ready and not draining, and otherwise 503; the text names the state.
    fn readiness_reply(&self) -> HttpReply {
        if self.shared.is_draining() {
            return HttpReply::text(503, "draining\n");
        }
        let readiness = self.shared.spread.load().readiness;
        let status = if readiness.is_ready() { 200 } else { 503 };
        HttpReply::text(status, &format!("{readiness}\n"))
    }

    /// Requests the heads of all living members, waits [`HEADS_WAIT`] for their datagrams and returns the
    /// versions known by then; 503 if the control thread does not answer.
    fn status(&self) -> HttpReply {
        self.shared.send_to_control(ControlMessage::AskHeads);
        std::thread::sleep(HEADS_WAIT);
        match self.ask_control(ControlMessage::Status) {
            Some(status) => HttpReply::json(200, &status),
            None => HttpReply::text(503, "the control thread does not answer\n"),
        }
    }
}
