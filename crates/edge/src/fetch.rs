use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::time::timeout;

use crate::{byte_stream::ByteStream, own_exchange::own_exchange, response::Response};

/// Sends a GET request over a new connection; returns the connection too if it can be reused.
///
/// Returns `None` if the connection can't be opened within `time_limit`, or if the response does not come
/// within as long again.
pub(crate) async fn fetch(
    address: SocketAddr,
    path: &str,
    time_limit: Duration,
) -> Option<(Response, Option<ByteStream>)> {
    let stream = ByteStream::connect(address, time_limit).await.ok()?;
    timeout(
        time_limit,
        own_exchange(stream, address, "GET", path, &Bytes::new()),
    )
    .await
    .ok()?
    .ok()
}
