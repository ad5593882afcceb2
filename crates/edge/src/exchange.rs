use std::{rc::Rc, time::Instant};

use bytes::BytesMut;
use tokio::time::timeout;

use crate::{
    body_decoder::{BodyDecoder, Decoded},
    body_framing::BodyFraming,
    byte_stream::ByteStream,
    exchange_error::ExchangeError,
    message_head::ResponseHead,
    outgoing_request::{OutgoingRequest, put_chunk},
    response::Response,
    response_body::ResponseBody,
    response_buffers::ResponseBuffers,
    server_connection::MAX_BUFFERED_BYTES,
    silence_limit::SilenceLimit,
};

/// The longest head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The most interim responses to a request. A gate sends one every 120 ms, for minutes at most; a target in trouble may
/// send them without end, and reading them until the deadline would hold up all other requests.
const MAX_INTERIM_RESPONSES: usize = 2_000;

/// The most responses to other requests that are skipped before the expected one.
const MAX_STRAY_RESPONSES: usize = 4;

/// Sends a request on a connection and reads its response; interim responses are skipped.
///
/// Returns the connection too if it can be reused: the request was sent completely, the response was read to
/// its end, no bytes follow it, no response to another request came before it, and it has the expected id, if there is
/// one. A second copy of the response, which may come when the connection is in use again, is recognised by this id. A
/// copy without an id can't be told from the response, so neither is accepted on a connection that was used before.
/// `silence` limits how long no bytes may come while the response's head is awaited; bytes of interim responses count.
/// A response that is too long to be read whole is read ahead if there are `buffers` for it.
pub(crate) async fn exchange(
    mut stream: ByteStream,
    mut request: OutgoingRequest<'_>,
    silence: Option<&SilenceLimit<'_>>,
    buffers: Option<&Rc<ResponseBuffers>>,
) -> Result<(Response, Option<ByteStream>), ExchangeError> {
    let has_earlier_request = std::mem::replace(&mut stream.has_earlier_request, true);
    let first_bytes = request.first_bytes();
    if stream.write(&first_bytes).await.is_err() {
        return Err(ExchangeError::ConnectionLost);
    }
    drop(first_bytes);
    let mut sent_whole = false;
    let (mut interim_count, mut stray_count) = (0, 0);
    loop {
        // Neither an interim response nor one to another request ends the sending.
        if !sent_whole && stream.buffer.is_empty() {
            sent_whole = send_body_rest(&mut stream, &mut request).await?;
        }
        let head = read_head(&mut stream, silence).await?;
        if head.is_interim() {
            interim_count += 1;
            if interim_count > MAX_INTERIM_RESPONSES {
                return Err(ExchangeError::InvalidResponse);
            }
            continue;
        }
        let framing = BodyFraming::of_response(&head.headers, head.status, request.method)
            .map_err(|_| ExchangeError::InvalidResponse)?;
        let keeps_alive = head.keeps_alive();
        let id = head.headers.get(medlarspool_adapter::headers::REQUEST_ID);
        let is_stray = request
            .expected_id
            .is_some_and(|expected| id.is_some_and(|id| id != expected));
        let lacks_id = request.expected_id.is_some() && id.is_none();
        if lacks_id && (has_earlier_request || stray_count > 0) {
            return Err(ExchangeError::Unidentified);
        }
        let (mut response, reusable) = read_body(stream, head, framing, buffers).await?;
        let Some(reusable) = reusable else {
            return if is_stray {
                Err(ExchangeError::InvalidResponse)
            } else {
                response.headers.retain_end_to_end();
                Ok((response, None))
            };
        };
        if is_stray {
            stray_count += 1;
            if stray_count > MAX_STRAY_RESPONSES || !keeps_alive {
                return Err(ExchangeError::InvalidResponse);
            }
            stream = reusable;
            continue;
        }
        let is_reusable = sent_whole
            && keeps_alive
            && reusable.buffer.is_empty()
            && stray_count == 0
            && !lacks_id;
        response.headers.retain_end_to_end();
        return Ok((response, is_reusable.then_some(reusable)));
    }
}

/// Sends the rest of a long body; stops when a response begins, which may be an interim one. Returns whether all of it
/// was sent.
async fn send_body_rest(
    stream: &mut ByteStream,
    request: &mut OutgoingRequest<'_>,
) -> Result<bool, ExchangeError> {
    let is_chunked = request.is_chunked();
    let Some(body_rest) = &mut request.body_rest else {
        return Ok(true);
    };
    stream.tolerate_slow_reader();
    loop {
        let piece = tokio::select! {
            piece = body_rest.next() => piece,
            read = stream.fill() => return match read {
                Ok(1..) => Ok(false),
                _ => Err(ExchangeError::ConnectionLost),
            },
        };
        let mut out = BytesMut::new();
        let is_end = match piece {
            Some(Ok(piece)) if is_chunked => {
                put_chunk(&mut out, &piece);
                false
            }
            Some(Ok(piece)) => {
                out.extend_from_slice(&piece);
                false
            }
            Some(Err(_)) => return Err(ExchangeError::RequestBodyAborted),
            None => {
                if is_chunked {
                    put_chunk(&mut out, &[]);
                }
                true
            }
        };
        if stream.write(&out).await.is_err() {
            return Err(ExchangeError::ConnectionLost);
        }
        if is_end {
            return Ok(true);
        }
    }
}

/// Reads the head of the next response, which may be an interim one.
async fn read_head(
    stream: &mut ByteStream,
    silence: Option<&SilenceLimit<'_>>,
) -> Result<ResponseHead, ExchangeError> {
    let started_at = Instant::now();
    let mut was_silent = false;
    loop {
        if !stream.buffer.is_empty() {
            let head = ResponseHead::take(&mut stream.buffer, MAX_HEAD_BYTES);
            if let Some(head) = head.map_err(|_| ExchangeError::InvalidResponse)? {
                if let Some(silence) = silence.filter(|_| was_silent) {
                    (silence.on_end)(&head, started_at.elapsed());
                }
                return Ok(head);
            }
        }
        let read = match silence {
            Some(silence) => {
                let filled = timeout(silence.max_silence, stream.fill()).await;
                let Ok(read) = filled else {
                    was_silent = true;
                    (silence.on_silence)();
                    continue;
                };
                read
            }
            None => stream.fill().await,
        };
        if !matches!(read, Ok(1..)) {
            return Err(ExchangeError::ConnectionLost);
        }
    }
}

/// Reads a response's body; one that is too long to buffer stays on the connection, to be streamed.
///
/// Returns the connection too if the whole body was read and its end is not the close of the connection.
async fn read_body(
    mut stream: ByteStream,
    head: ResponseHead,
    framing: BodyFraming,
    buffers: Option<&Rc<ResponseBuffers>>,
) -> Result<(Response, Option<ByteStream>), ExchangeError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    let length = match framing {
        BodyFraming::Length(length) => Some(length),
        BodyFraming::Chunked | BodyFraming::UntilClose => None,
    };
    if buffers.is_some() && length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
        let mut body = ResponseBody::new(stream, decoder, length, body.freeze(), buffers);
        body.read_beginning().await;
        if body.is_broken() {
            return Err(ExchangeError::InvalidResponse);
        }
        return Ok((streamed(head, body), None));
    }
    loop {
        match decoder.decode(&mut stream.buffer) {
            Ok(Decoded::Data(data)) => body.extend_from_slice(&data),
            Ok(Decoded::End) => break,
            Ok(Decoded::NeedMore) => match stream.fill().await {
                Ok(1..) => {}
                Ok(_) if decoder.ends_with_close() => break,
                _ => return Err(ExchangeError::InvalidResponse),
            },
            Err(_) => return Err(ExchangeError::InvalidResponse),
        }
        if body.len() > MAX_BUFFERED_BYTES && !decoder.is_ended() {
            let body = ResponseBody::new(stream, decoder, length, body.freeze(), buffers);
            return Ok((streamed(head, body), None));
        }
    }
    let response = Response {
        headers: head.headers,
        streamed_body: None,
        status: head.status,
        body: body.freeze(),
    };
    let is_reusable = framing != BodyFraming::UntilClose;
    Ok((response, is_reusable.then_some(stream)))
}

fn streamed(head: ResponseHead, body: ResponseBody) -> Response {
    Response {
        headers: head.headers,
        streamed_body: Some(Box::new(body)),
        status: head.status,
        body: bytes::Bytes::new(),
    }
}
