use std::{
    sync::{Arc, mpsc},
    time::Duration,
};

use serde_json::json;
use tiny_http::Request;

use crate::{control_message::ControlMessage, http_reply::HttpReply, shared::Shared};

/// How long an operator waits for the control thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the members get to answer with their heads.
const HEADS_PATIENCE: Duration = Duration::from_millis(300);

/// Answers operators and scrapers on an address apart from the callers'.
pub(crate) struct Administration {
    pub(crate) shared: Arc<Shared>,
}

impl Administration {
    /// Answers one request; all but the two health paths need the operators' token.
    pub(crate) fn handle(&self, request: Request) {
        let reply = match request.url() {
            "/healthz" => HttpReply::text(200, "alive\n"),
            "/readyz" => self.ready(),
            _ if !self.authorised(&request) => {
                HttpReply::text(401, "the operators' token is missing or wrong\n")
            }
            "/dump" => HttpReply::json(200, &self.dump()),
            "/members" => self.ask_control(ControlMessage::DumpMembers),
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

    fn authorised(&self, request: &Request) -> bool {
        let expected = format!("Bearer {}", self.shared.settings.operator_token);
        request
            .headers()
            .iter()
            .any(|header| header.field.equiv("authorization") && header.value.as_str() == expected)
    }

    fn dump(&self) -> serde_json::Value {
        let shared = &self.shared;
        json!({
            "availability_zone": shared.settings.availability_zone,
            "config": shared.held(),
            "directory": **shared.directory.load(),
            "draining": shared.is_draining(),
            "incarnation": shared.incarnation,
            "instance": shared.settings.instance,
            "region": shared.settings.region,
            "spread": {
                "announced": shared.spread.load().announced,
                "counters": shared.spread.load().counters,
                "readiness": shared.spread.load().readiness.to_string(),
            },
        })
    }

    fn ask_control(
        &self,
        question: impl FnOnce(mpsc::Sender<serde_json::Value>) -> ControlMessage,
    ) -> HttpReply {
        let (asker, answer) = mpsc::channel();
        self.shared.tell_control(question(asker));
        match answer.recv_timeout(ANSWER_TIMEOUT) {
            Ok(value) => HttpReply::json(200, &value),
            Err(_) => HttpReply::text(503, "the control thread does not answer\n"),
        }
    }

    fn ready(&self) -> HttpReply {
        if self.shared.is_draining() {
            return HttpReply::text(503, "draining\n");
        }
        let readiness = self.shared.spread.load().readiness;
        let status = if readiness.is_ready() { 200 } else { 503 };
        HttpReply::text(status, &format!("{readiness}\n"))
    }

    /// Asks all members for their heads, waits for most answers and tells what came.
    fn status(&self) -> HttpReply {
        self.shared.tell_control(ControlMessage::AskHeads);
        std::thread::sleep(HEADS_PATIENCE);
        self.ask_control(ControlMessage::Status)
    }
}
