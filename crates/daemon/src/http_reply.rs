use medlarspool_proto::Header;
use medlarspool_types::Verdict;
use tiny_http::{Request, Response};

/// A complete HTTP answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct HttpReply {
    pub(crate) body: Vec<u8>,
    pub(crate) headers: Vec<Header>,
    pub(crate) status: u16,
}

impl HttpReply {
    pub(crate) fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::text(status, &value.to_string()).with_header("content-type", "application/json")
    }

    pub(crate) fn text(status: u16, text: &str) -> Self {
        Self {
            body: text.as_bytes().to_vec(),
            headers: Vec::new(),
            status,
        }
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header {
            name: name.into(),
            value: value.into(),
        });
        self
    }

    /// Adds the retry delay, in whole seconds as HTTP has it and in milliseconds.
    pub(crate) fn with_retry_after(self, retry_after_ms: u64) -> Self {
        let seconds = retry_after_ms.div_ceil(1_000);
        self.with_header("retry-after", &seconds.to_string())
            .with_header("medlarspool-retry-after-ms", &retry_after_ms.to_string())
    }

    pub(crate) fn with_verdict(self, verdict: Verdict) -> Self {
        self.with_header("medlarspool-verdict", &verdict.to_string())
    }

    /// Sends the answer; a caller that has disconnected by then is not an error of this daemon.
    pub(crate) fn send(self, request: Request) {
        let mut response = Response::from_data(self.body).with_status_code(self.status);
        for header in &self.headers {
            let parsed =
                tiny_http::Header::from_bytes(header.name.as_bytes(), header.value.as_bytes());
            if let Ok(parsed) = parsed {
                response.add_header(parsed);
            }
        }
        if let Err(error) = request.respond(response) {
            log::debug!(error = error.to_string().as_str(); "the caller has disconnected");
        }
    }
}
