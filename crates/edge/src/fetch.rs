use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::time::timeout;

use crate::{byte_stream::ByteStream, own_exchange::own_exchange, response::Response};

/// Fetches a path over a new connection; returns the connection too if it may be used again.
///
/// There is no answer if the other end can't be reached, or gives no whole one within `most`.
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
