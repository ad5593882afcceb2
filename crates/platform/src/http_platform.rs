use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;
use ureq::{Agent, Body, RequestBuilder, http::Response};

use crate::{
    BatchConflict, Platform, PlatformError, Row, RowCondition, RowWrite, TableBatch, table_key,
};

/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// A client of the platform over plain HTTP, as described in `docs/design/store.md`.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    agent: Agent,
    authorization: String,
    base_url: String,
}

impl HttpPlatform {
    /// Creates a client whose calls fail after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, token: &str, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(timeout))
            .build();
        Self {
            agent: config.into(),
            authorization: format!("Bearer {token}"),
            base_url: format!("http://{address}"),
        }
    }

    fn get(&self, path: &str) -> Result<Response<Body>, PlatformError> {
        let request = self.agent.get(format!("{}{path}", self.base_url));
        request
            .header("authorization", &self.authorization)
            .call()
            .map_err(|error| PlatformError::Unavailable(error.to_string()))
    }

    /// Writes or deletes one row with a conditional PUT or DELETE request (RFC 9110).
    fn write_row(&self, write: &RowWrite) -> Result<(), PlatformError> {
        let uri = format!("{}/table/{}", self.base_url, write.key);
        let result = match &write.value {
            None => {
                let request = self.agent.delete(uri);
                let request = request.header("authorization", &self.authorization);
                with_condition(request, write.condition).call()
            }
            Some(value) => {
                let request = self.agent.put(uri);
                let request = request.header("authorization", &self.authorization);
                with_condition(request, write.condition).send(value)
            }
        };
        let response = result.map_err(|error| write_error(&error))?;
        match response.status().as_u16() {
            200..=204 => Ok(()),
            412 => Err(PlatformError::Conflict {
                key: write.key.clone(),
            }),
            status => Err(status_error(status)),
        }
    }

    /// Writes several rows in one transaction, with one POST request.
    fn post_batch(&self, writes: &[RowWrite]) -> Result<(), PlatformError> {
        let batch = TableBatch {
            writes: writes.to_vec(),
        };
        let body = serde_json::to_vec(&batch)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let request = self.agent.post(format!("{}/table", self.base_url));
        let result = request
            .header("authorization", &self.authorization)
            .content_type("application/json")
            .send(&body);
        let mut response = result.map_err(|error| write_error(&error))?;
        match response.status().as_u16() {
            200..=204 => Ok(()),
            412 => {
                let conflict: BatchConflict = read_json(&mut response)?;
                Err(PlatformError::Conflict { key: conflict.key })
            }
            status => Err(status_error(status)),
        }
    }
}

impl Platform for HttpPlatform {
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        table_key::check(name)?;
        let mut response = self.get(&format!("/objects/{name}"))?;
        match response.status().as_u16() {
            200 => read_bytes(&mut response).map(Some),
            404 => Ok(None),
            status => Err(status_error(status)),
        }
    }

    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError> {
        table_key::check(name)?;
        let request = self.agent.put(format!("{}/objects/{name}", self.base_url));
        let result = request
            .header("authorization", &self.authorization)
            .content_type("application/octet-stream")
            .send(content);
        match result
            .map_err(|error| write_error(&error))?
            .status()
            .as_u16()
        {
            200..=204 => Ok(()),
            status => Err(status_error(status)),
        }
    }

    fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        table_key::check(key)?;
        let mut response = self.get(&format!("/table/{key}"))?;
        match response.status().as_u16() {
            200 => Ok(Some(Row {
                etag: parse_etag(&response)?,
                key: key.into(),
                value: read_text(&mut response)?,
            })),
            404 => Ok(None),
            status => Err(status_error(status)),
        }
    }

    fn list_rows(&self, prefix: &str, limit: usize) -> Result<Vec<Row>, PlatformError> {
        table_key::check(prefix)?;
        let mut response = self.get(&format!("/table?prefix={prefix}&limit={limit}"))?;
        match response.status().as_u16() {
            200 => read_json(&mut response),
            status => Err(status_error(status)),
        }
    }

    fn transact(&self, writes: &[RowWrite]) -> Result<(), PlatformError> {
        writes
            .iter()
            .try_for_each(|write| table_key::check(&write.key))?;
        match writes {
            [write] => self.write_row(write),
            _ => self.post_batch(writes),
        }
    }
}

fn with_condition<B>(request: RequestBuilder<B>, condition: RowCondition) -> RequestBuilder<B> {
    match condition {
        RowCondition::Absent => request.header("if-none-match", "*"),
        RowCondition::Any => request,
        RowCondition::Matches(etag) => request.header("if-match", format!("\"{etag}\"")),
    }
}

/// Classifies the error of a write. Only a connection that was not established proves that the platform did
/// not receive the write; after any other error its outcome is not known.
fn write_error(error: &ureq::Error) -> PlatformError {
    match error {
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            PlatformError::Unavailable(error.to_string())
        }
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            PlatformError::Unavailable(error.to_string())
        }
        _ => PlatformError::OutcomeUnknown(error.to_string()),
    }
}

fn status_error(status: u16) -> PlatformError {
    match status {
        401 | 403 => PlatformError::Unauthorized,
        429 | 503 => PlatformError::Unavailable(format!("status `{status}`")),
        500.. => PlatformError::OutcomeUnknown(format!("status `{status}`")),
        _ => PlatformError::Malformed(format!("status `{status}`")),
    }
}

fn parse_etag(response: &Response<Body>) -> Result<u64, PlatformError> {
    let header = response.headers().get("etag");
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    text.trim_matches('"')
        .parse()
        .map_err(|_| PlatformError::Malformed(format!("etag `{text}`")))
}

fn read_bytes(response: &mut Response<Body>) -> Result<Vec<u8>, PlatformError> {
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    body.read_to_vec()
        .map_err(|error| PlatformError::Unavailable(error.to_string()))
}

fn read_text(response: &mut Response<Body>) -> Result<String, PlatformError> {
    let bytes = read_bytes(response)?;
    String::from_utf8(bytes).map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn read_json<T: DeserializeOwned>(response: &mut Response<Body>) -> Result<T, PlatformError> {
    let bytes = read_bytes(response)?;
    serde_json::from_slice(&bytes).map_err(|error| PlatformError::Malformed(error.to_string()))
}
