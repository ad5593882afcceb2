use std::{net::SocketAddr, time::Duration};

use crate::OPERATOR_TOKEN;

/// Reads a page from a daemon's administration address with the operator token.
pub(crate) fn read_administration_page(
    administration_address: SocketAddr,
    path: &str,
    timeout: Option<Duration>,
) -> Result<String, String> {
    ureq::get(format!("http://{administration_address}{path}"))
        .config()
        .timeout_global(timeout)
        .build()
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .call()
        .map_err(|error| error.to_string())?
        .body_mut()
        .read_to_string()
        .map_err(|error| error.to_string())
}
