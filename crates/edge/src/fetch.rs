use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::time::timeout;

use crate::{
    answer::Answer, body_framing::BodyFraming, byte_stream::ByteStream, exchange::exchange,
    header_list::HeaderList, outgoing::Outgoing,
};

/// Fetches a path over a new connection; returns the connection too if it may be used again.
///
/// There is no answer if the other end can't be reached, or gives no whole one within `most`.
pub(crate) async fn fetch(
    address: SocketAddr,
    path: &str,
    most: Duration,
) -> Option<(Answer, Option<ByteStream>)> {
    let stream = ByteStream::connect(address, most).await.ok()?;
    let mut headers = HeaderList::default();
    headers.push(&b"Host"[..], address.to_string());
    let request = Outgoing {
        body: &Bytes::new(),
        expected_id: None,
        extra: &HeaderList::default(),
        framing: BodyFraming::Length(0),
        headers: &headers,
        method: "GET",
        rest: None,
        target: path.as_bytes(),
    };
    timeout(most, exchange(stream, request, None))
        .await
        .ok()?
        .ok()
}
