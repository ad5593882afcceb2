use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::time::timeout;

use crate::{byte_stream::ByteStream, own_exchange::own_exchange, response::Response};

/// Sends a GET request over a new connection; returns the connection too if it can be reused.
///
/// The opening of the connection and the exchange may each take `time_limit`; returns `None` if either fails or
/// takes longer.
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
