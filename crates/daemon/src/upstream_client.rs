use std::{net::SocketAddr, time::Duration};

use medlarspool_proto::{CallReply, CallRequest, Header, Refusal, WireVerdict};
use medlarspool_types::Verdict;
use ureq::{
    Agent,
    http::{Request, Response, Uri},
};

/// Hop-by-hop headers, which concern one connection and are not passed on.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The HTTP client towards the upstream beside this daemon.
pub(crate) struct UpstreamClient {
    agent: Agent,
    max_body_bytes: u64,
}

impl UpstreamClient {
    pub(crate) fn new(max_body_bytes: u64) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections_per_host(64)
            .build();
        Self {
            agent: config.into(),
            max_body_bytes,
        }
    }

    /// Runs a request at the upstream and returns its whole answer or what may have become of it.
    pub(crate) fn run(
        &self,
        address: SocketAddr,
        request: &CallRequest,
        timeout: Duration,
    ) -> CallReply {
        let Some(http) = http_request(address, request) else {
            return CallReply::refused(Verdict::NotRun, Refusal::UpstreamFailed);
        };
        let http = self
            .agent
            .configure_request(http)
            .timeout_global(Some(timeout))
            .build();
        match self.agent.run(http) {
            Ok(response) => self.whole_answer(response),
            Err(error) => failed(&error),
        }
    }

    fn whole_answer(&self, mut response: Response<ureq::Body>) -> CallReply {
        let headers = passed_on(response.headers());
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(self.max_body_bytes)
            .read_to_vec();
        match body {
            Ok(body) => CallReply {
                body,
                headers,
                status: status.into(),
                verdict: WireVerdict::Ran.into(),
                ..CallReply::default()
            },
            Err(_) => CallReply::refused(Verdict::MayHaveRun, Refusal::UpstreamFailed),
        }
    }
}

/// Returns whether a header concerns the message and not one connection.
pub(crate) fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name)
}

fn failed(error: &ureq::Error) -> CallReply {
    let verdict = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => Verdict::NotRun,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Verdict::NotRun
        }
        _ => Verdict::MayHaveRun,
    };
    CallReply::refused(verdict, Refusal::UpstreamFailed)
}

fn http_request(address: SocketAddr, request: &CallRequest) -> Option<Request<Vec<u8>>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(request.path.as_str())
        .build()
        .ok()?;
    let mut builder = Request::builder().method(request.method.as_str()).uri(uri);
    for header in &request.headers {
        builder = builder.header(&header.name, &header.value);
    }
    builder
        .header("medlarspool-remaining-ms", request.remaining_ms)
        .body(request.body.clone())
        .ok()
}

fn passed_on(headers: &ureq::http::HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .filter_map(|(name, value)| {
            Some(Header {
                name: name.as_str().into(),
                value: value.to_str().ok()?.into(),
            })
        })
        .collect()
}
