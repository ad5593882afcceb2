use std::net::SocketAddr;

use medlarspool_calls::RequestContext;
use medlarspool_proto::{CallReply, CallRequest, Header, WireVerdict};
use ureq::{
    Agent,
    http::{Request, Response, Uri},
};

use crate::upstream_outcome::UpstreamOutcome;

/// The header that says how long the caller still waits, in milliseconds.
pub(crate) const REMAINING_HEADER: &str = "medlarspool-remaining-ms";

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

/// The HTTP client for the upstream beside this daemon.
pub(crate) struct UpstreamClient {
    agent: Agent,
    max_body_bytes: u64,
}

impl UpstreamClient {
    pub(crate) fn new(max_body_bytes: u64) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections_per_host(64)
            .build();
        Self {
            agent: config.into(),
            max_body_bytes,
        }
    }

    /// Sends a request to the upstream and waits for the whole answer, for at most the context's remaining
    /// time.
    pub(crate) fn run(
        &self,
        address: SocketAddr,
        request: &CallRequest,
        context: &RequestContext,
    ) -> UpstreamOutcome {
        let Some(http) = http_request(address, request, context) else {
            return UpstreamOutcome::NotSent;
        };
        let http = self
            .agent
            .configure_request(http)
            .timeout_global(Some(context.remaining))
            .build();
        match self.agent.run(http) {
            Ok(response) if !has_known_end(&request.method, &response) => UpstreamOutcome::Lost,
            Ok(response) => self.read_answer(response),
            Err(error) => {
                log::debug!(error = error.to_string().as_str(); "the upstream gave no answer");
                failure_outcome(&error)
            }
        }
    }

    /// Reads the rest of an answer; a body that ends early or exceeds `max_body_bytes` counts as lost.
    fn read_answer(&self, mut response: Response<ureq::Body>) -> UpstreamOutcome {
        let headers = end_to_end_headers(response.headers());
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(self.max_body_bytes)
            .read_to_vec();
        match body {
            Ok(body) => UpstreamOutcome::Answered(CallReply {
                body,
                headers,
                status: status.into(),
                verdict: WireVerdict::Ran.into(),
                ..CallReply::default()
            }),
            Err(_) => UpstreamOutcome::Lost,
        }
    }
}

/// Returns whether a header concerns the message and not one connection.
pub(crate) fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name)
}

/// Distinguishes errors from before a connection was made, when nothing was sent, from all others.
fn failure_outcome(error: &ureq::Error) -> UpstreamOutcome {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => UpstreamOutcome::NotSent,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            UpstreamOutcome::NotSent
        }
        _ => UpstreamOutcome::Lost,
    }
}

/// Returns whether the answer's length is known from its headers or status. An answer that ends with its
/// connection could be truncated unnoticed.
fn has_known_end(method: &str, response: &Response<ureq::Body>) -> bool {
    let status = response.status().as_u16();
    let is_empty = method == "HEAD" || status == 204 || status == 304;
    let headers = response.headers();
    is_empty || headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

/// Builds the HTTP request; returns `None` if the method, the path or a header is malformed.
fn http_request(
    address: SocketAddr,
    request: &CallRequest,
    context: &RequestContext,
) -> Option<Request<Vec<u8>>> {
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
        .header(REMAINING_HEADER, context.remaining.as_millis().to_string())
        .header(RequestContext::HEADER, context.to_string())
        .body(request.body.clone())
        .ok()
}

fn end_to_end_headers(headers: &ureq::http::HeaderMap) -> Vec<Header> {
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
