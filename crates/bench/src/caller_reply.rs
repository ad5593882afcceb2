use std::time::Duration;

use ureq::RequestBuilder;

/// How long a caller waits for the whole answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// An HTTP answer as a caller receives it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerReply {
    /// The whole body.
    pub body: String,
    /// The HTTP status code.
    pub status: u16,
    /// The `medlarspool-verdict` header, or empty without one.
    pub verdict: String,
}

impl CallerReply {
    /// Sends a GET request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer was received.
    pub fn get(url: &str, credential: &str) -> Result<Self, String> {
        Self::get_with(url, credential, &[])
    }

    /// Sends a GET request with further headers and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer was received.
    pub fn get_with(url: &str, credential: &str, headers: &[(&str, &str)]) -> Result<Self, String> {
        Self::read(prepare(ureq::get(url), credential, headers).call())
    }

    /// Sends a POST request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer was received.
    pub fn post(
        url: &str,
        credential: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Self, String> {
        Self::read(prepare(ureq::post(url), credential, headers).send(body))
    }

    fn read(answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Result<Self, String> {
        let mut answer = answer.map_err(|error| error.to_string())?;
        let body = answer
            .body_mut()
            .read_to_string()
            .map_err(|error| error.to_string())?;
        let verdict = answer
            .headers()
            .get("medlarspool-verdict")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        Ok(Self {
            body,
            status: answer.status().as_u16(),
            verdict: verdict.into(),
        })
    }
}

/// Adds the timeout, the credential and the given headers to a request.
fn prepare<Body>(
    request: RequestBuilder<Body>,
    credential: &str,
    headers: &[(&str, &str)],
) -> RequestBuilder<Body> {
    let mut request = request
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(CALLER_TIMEOUT))
        .build()
        .header("authorization", format!("Bearer {credential}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request
}
