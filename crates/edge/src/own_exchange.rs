use std::net::SocketAddr;

use bytes::Bytes;

use crate::{
    body_framing::BodyFraming, byte_stream::ByteStream, exchange::exchange,
    exchange_error::ExchangeError, header_list::HeaderList, outgoing_request::OutgoingRequest,
    response::Response,
};

/// Sends a request that this daemon makes for itself and reads its response; a body must be JSON.
pub(crate) async fn own_exchange(
    stream: ByteStream,
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Bytes,
) -> Result<(Response, Option<ByteStream>), ExchangeError> {
    let mut headers = HeaderList::default();
    headers.push(&b"Host"[..], address.to_string());
    if !body.is_empty() {
        headers.push(&b"Content-Type"[..], &b"application/json"[..]);
    }
    let request = OutgoingRequest {
        body,
        expected_id: None,
        extra: &HeaderList::default(),
        framing: BodyFraming::Length(body.len() as u64),
        headers: &headers,
        method,
        body_rest: None,
        request_target: path.as_bytes(),
    };
    exchange(stream, request, None, None).await
}
