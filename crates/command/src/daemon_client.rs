use std::net::SocketAddr;

use serde_json::Value;
use ureq::Agent;

use crate::{
    CommandError,
    arguments::{Arguments, CALL_TIMEOUT, missing_option},
};

/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// A client of one daemon's administration address.
pub(crate) struct DaemonClient {
    address: SocketAddr,
    agent: Agent,
    authorization: Option<String>,
}

impl DaemonClient {
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, CommandError> {
        let address = arguments.parsed("daemon")?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Ok(Self {
            address: address.ok_or_else(|| missing_option("daemon"))?,
            agent: config.into(),
            authorization: arguments
                .optional_token()?
                .map(|token| format!("Bearer {token}")),
        })
    }

    pub(crate) fn get(&self, path: &str) -> Result<Value, CommandError> {
        let mut request = self.agent.get(format!("http://{}{path}", self.address));
        if let Some(authorization) = &self.authorization {
            request = request.header("authorization", authorization);
        }
        let result = request.call();
        let mut response = result.map_err(|error| self.error(error.to_string()))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(self.error(format!("status `{status}`")));
        }
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let body = body.read_to_vec();
        let body = body.map_err(|error| self.error(error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| self.error(error.to_string()))
    }

    pub(crate) fn error(&self, reason: String) -> CommandError {
        CommandError::Daemon {
            address: self.address,
            reason,
        }
    }
}
