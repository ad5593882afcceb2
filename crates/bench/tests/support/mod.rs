//! A stand-in daemon that answers the operators' command with fixed pages.

use std::{net::SocketAddr, sync::Arc, thread::JoinHandle};

use tiny_http::{Response, Server};

const DUMP: &str = r#"{"table":[]}"#;
const STATUS: &str = r#"{"newest":7,"instances":[
    {"instance":"i-2","availability_zone":"az-b","state":"alive","version":6,"heard_ms_ago":20},
    {"instance":"i-1","availability_zone":"az-a","state":"alive","version":7,"heard_ms_ago":0}]}"#;

pub struct StandInDaemon {
    address: SocketAddr,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl StandInDaemon {
    pub const TOKEN: &str = "operators-token";

    pub fn start() -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("the server starts"));
        let address = server
            .server_addr()
            .to_ip()
            .expect("the server has an IP address");
        let requests = Arc::clone(&server);
        let thread = std::thread::spawn(move || {
            for request in requests.incoming_requests() {
                let expected = format!("Bearer {}", Self::TOKEN);
                let mut headers = request.headers().iter();
                let authorized = headers.any(|header| header.value.as_str() == expected);
                let (status, body) = match (authorized, request.url()) {
                    (false, _) => (401, ""),
                    (true, "/dump") => (200, DUMP),
                    (true, "/status") => (200, STATUS),
                    (true, _) => (404, ""),
                };
                let answer = Response::from_string(body).with_status_code(status);
                request.respond(answer).expect("the answer is sent");
            }
        });
        Self {
            address,
            server,
            thread: Some(thread),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandInDaemon {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the server thread ends");
        }
    }
}
