use bytes::BytesMut;

use crate::{
    body_decoder::{BodyDecoder, Decoded},
    body_framing::BodyFraming,
    byte_stream::ByteStream,
    exchange_error::ExchangeError,
    message_head::ResponseHead,
    outgoing_request::{OutgoingRequest, put_chunk},
    response::Response,
    response_body::ResponseBody,
    server_connection::MAX_BUFFERED_BYTES,
    silence_limit::SilenceLimit,
};

/// The longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The most answers of other requests that are read over before one's own.
const MAX_STRAY_ANSWERS: usize = 4;

/// Sends a request on a connection and reads its answer.
///
/// Returns the connection too if it may be used again: after an answer that ended where it should,
/// with nothing behind it, to a request that was sent whole. If `silence` is set, some bytes have to
/// come in time, be they only those of an interim answer.
pub(crate) async fn exchange(
    mut stream: ByteStream,
    mut request: OutgoingRequest<'_>,
    silence: Option<&SilenceLimit<'_>>,
) -> Result<(Response, Option<ByteStream>), ExchangeError> {
    let first = request.first_bytes();
    if stream.write(&first).await.is_err() {
        return Err(ExchangeError::Lost);
    }
    drop(first);
    let sent_whole = send_rest(&mut stream, &mut request).await?;
    let mut strays = 0;
    loop {
        let head = read_head(&mut stream, silence).await?;
        if head.status < 200 {
            continue;
        }
        let framing = BodyFraming::of_response(&head.headers, head.status, request.method)
            .map_err(|_| ExchangeError::Garbled)?;
        let keeps = head.keeps_alive();
        let is_stray = request.expected_id.is_some_and(|expected| {
            head.headers
                .get(medlarspool_adapter::headers::REQUEST_ID)
                .is_some_and(|id| id != expected)
        });
        let (mut answer, back) = read_body(stream, head, framing).await?;
        let Some(back) = back else {
            return if is_stray {
                Err(ExchangeError::Garbled)
            } else {
                answer.headers.retain_end_to_end();
                Ok((answer, None))
            };
        };
        if is_stray {
            strays += 1;
            if strays > MAX_STRAY_ANSWERS || !keeps {
                return Err(ExchangeError::Garbled);
            }
            stream = back;
            continue;
        }
        let clean = sent_whole && keeps && back.buffer.is_empty() && strays == 0;
        answer.headers.retain_end_to_end();
        return Ok((answer, clean.then_some(back)));
    }
}

/// Sends the rest of a long body; returns whether all of it was sent before an answer began.
async fn send_rest(
    stream: &mut ByteStream,
    request: &mut OutgoingRequest<'_>,
) -> Result<bool, ExchangeError> {
    let chunked = request.is_chunked();
    let Some(rest) = &mut request.rest else {
        return Ok(true);
    };
    loop {
        let piece = tokio::select! {
            piece = rest.next() => piece,
            read = stream.fill() => return match read {
                Ok(1..) => Ok(false),
                _ => Err(ExchangeError::Lost),
            },
        };
        let mut out = BytesMut::new();
        let ended = match piece {
            Some(Ok(piece)) if chunked => {
                put_chunk(&mut out, &piece);
                false
            }
            Some(Ok(piece)) => {
                out.extend_from_slice(&piece);
                false
            }
            Some(Err(_)) => return Err(ExchangeError::RequestBroken),
            None => {
                if chunked {
                    put_chunk(&mut out, &[]);
                }
                true
            }
        };
        if stream.write(&out).await.is_err() {
            return Err(ExchangeError::Lost);
        }
        if ended {
            return Ok(true);
        }
    }
}

async fn read_head(
    stream: &mut ByteStream,
    silence: Option<&SilenceLimit<'_>>,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        if !stream.buffer.is_empty() {
            let head = ResponseHead::take(&mut stream.buffer, MAX_HEAD_BYTES);
            if let Some(head) = head.map_err(|_| ExchangeError::Garbled)? {
                return Ok(head);
            }
        }
        let read = match silence {
            Some(silence) => match tokio::time::timeout(silence.most, stream.fill()).await {
                Ok(read) => read,
                Err(_) if (silence.ends)() => return Err(ExchangeError::Silent),
                Err(_) => continue,
            },
            None => stream.fill().await,
        };
        if !matches!(read, Ok(1..)) {
            return Err(ExchangeError::Lost);
        }
    }
}

async fn read_body(
    mut stream: ByteStream,
    head: ResponseHead,
    framing: BodyFraming,
) -> Result<(Response, Option<ByteStream>), ExchangeError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut whole = BytesMut::new();
    let length = match framing {
        BodyFraming::Length(length) => Some(length),
        BodyFraming::Chunked | BodyFraming::UntilClose => None,
    };
    loop {
        match decoder.decode(&mut stream.buffer) {
            Ok(Decoded::Data(data)) => whole.extend_from_slice(&data),
            Ok(Decoded::End) => break,
            Ok(Decoded::NeedMore) => match stream.fill().await {
                Ok(1..) => {}
                Ok(_) if decoder.ends_with_close() => break,
                _ => return Err(ExchangeError::Garbled),
            },
            Err(_) => return Err(ExchangeError::Garbled),
        }
        if whole.len() > MAX_BUFFERED_BYTES && !decoder.is_ended() {
            let rest = ResponseBody {
                decoder,
                first: whole.freeze(),
                guards: Vec::new(),
                length,
                stream,
            };
            let answer = Response {
                headers: head.headers,
                rest: Some(Box::new(rest)),
                status: head.status,
                whole: bytes::Bytes::new(),
            };
            return Ok((answer, None));
        }
    }
    let answer = Response {
        headers: head.headers,
        rest: None,
        status: head.status,
        whole: whole.freeze(),
    };
    let kept = framing != BodyFraming::UntilClose;
    Ok((answer, kept.then_some(stream)))
}
