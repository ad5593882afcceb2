use bytes::{Buf, Bytes, BytesMut};

use crate::{body_framing::BodyFraming, http_error::HttpError};

/// The longest line with a chunk's size and extensions, and the longest trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 4_096;

/// Decodes a message's body from the bytes of a connection.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: State,
}

/// What comes next on the connection; numbers are the bytes that remain of it.
#[derive(Debug)]
enum State {
    ChunkData(u64),
    ChunkEnd,
    ChunkSize,
    Ended,
    Length(u64),
    Trailers,
    UntilClose,
}

/// The result of a decoding step.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Decoded {
    Data(Bytes),
    End,
    NeedMore,
}

impl BodyDecoder {
    pub(crate) const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Chunked => State::ChunkSize,
            BodyFraming::Length(0) => State::Ended,
            BodyFraming::Length(length) => State::Length(length),
            BodyFraming::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is complete.
    pub(crate) const fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    /// Returns whether the body is complete if the connection is closed now.
    pub(crate) const fn ends_with_close(&self) -> bool {
        matches!(self.state, State::Ended | State::UntilClose)
    }

    /// Removes the next piece of the body from `buffer`, which may hold bytes of the next message after it.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, HttpError> {
        loop {
            match self.state {
                State::Ended => return Ok(Decoded::End),
                State::Length(remaining_bytes) => {
                    let Some(data) = take(buffer, remaining_bytes) else {
                        return Ok(Decoded::NeedMore);
                    };
                    let remaining_bytes = remaining_bytes - data.len() as u64;
                    self.state = if remaining_bytes == 0 {
                        State::Ended
                    } else {
                        State::Length(remaining_bytes)
                    };
                    return Ok(Decoded::Data(data));
                }
                State::UntilClose => {
                    return Ok(match take(buffer, u64::MAX) {
                        Some(data) => Decoded::Data(data),
                        None => Decoded::NeedMore,
                    });
                }
                // `httparse` takes a size without a digit for that of the last chunk.
                State::ChunkSize
                    if buffer.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) =>
                {
                    return Err(HttpError::Malformed);
                }
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((line_length, size))) => {
                        buffer.advance(line_length);
                        self.state = if size == 0 {
                            State::Trailers
                        } else {
                            State::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(Decoded::NeedMore);
                    }
                    _ => return Err(HttpError::Malformed),
                },
                State::ChunkData(remaining_bytes) => {
                    let Some(data) = take(buffer, remaining_bytes) else {
                        return Ok(Decoded::NeedMore);
                    };
                    let remaining_bytes = remaining_bytes - data.len() as u64;
                    self.state = if remaining_bytes == 0 {
                        State::ChunkEnd
                    } else {
                        State::ChunkData(remaining_bytes)
                    };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Decoded::NeedMore);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(HttpError::Malformed);
                    }
                    buffer.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailers => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_CHUNK_LINE_BYTES {
                            return Err(HttpError::Malformed);
                        }
                        return Ok(Decoded::NeedMore);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        self.state = State::Ended;
                    }
                }
            }
        }
    }
}

fn take(buffer: &mut BytesMut, max_bytes: u64) -> Option<Bytes> {
    let length = usize::try_from(max_bytes)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    (length > 0).then(|| buffer.split_to(length).freeze())
}
