use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::time::timeout;

use crate::{byte_stream::ByteStream, own_exchange::own_exchange, response::Response};

/// Sends a GET request over a connection of its own.
///
/// Returns `None` if the opening of the connection or the exchange fails, or both together take longer than
/// `time_limit`.
pub(crate) async fn fetch(
    address: SocketAddr,
    path: &str,
    time_limit: Duration,
) -> Option<Response> {
    let connect_and_exchange = async {
        let stream = ByteStream::connect(address, time_limit).await.ok()?;
        let exchanged = own_exchange(stream, address, "GET", path, &Bytes::new()).await;
        exchanged.ok().map(|(response, _)| response)
    };
    timeout(time_limit, connect_and_exchange).await.ok()?
}
