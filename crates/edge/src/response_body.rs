use std::{any::Any, io, rc::Rc, time::Instant};

use bytes::Bytes;

use crate::{
    body_decoder::{BodyDecoder, Decoded},
    byte_stream::ByteStream,
    read_ahead::ReadAhead,
    response_buffers::{PIECE_BYTES, ResponseBuffers},
    server_connection::MAX_BUFFERED_BYTES,
};

/// A response's body that is passed on while it is read.
pub(crate) struct ResponseBody {
    /// What was read ahead of whoever passes the body on; none if it is read only as fast as it is passed on.
    ahead: Option<ReadAhead>,
    /// The beginning of the body, which was read already.
    buffered: Bytes,
    /// When the body is given up if it has not ended; none if whoever reads it limits the time.
    pub(crate) deadline: Option<Instant>,
    decoder: BodyDecoder,
    /// Guards that are released when the body was read to its end, or is dropped, such as that of the run's slot.
    guards: Vec<Box<dyn Any>>,
    /// The length of the whole body, if it is known.
    pub(crate) length: Option<u64>,
    reading: Reading,
}

/// Whether there is more of the body to read.
enum Reading {
    /// The body broke off.
    Broken,
    /// The body was read to its end.
    Ended,
    Open(ByteStream),
}

impl std::fmt::Debug for ResponseBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ResponseBody")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

impl ResponseBody {
    /// Creates the body that a connection sends after `buffered`; it is read ahead if there are buffers for it.
    pub(crate) fn new(
        stream: ByteStream,
        decoder: BodyDecoder,
        length: Option<u64>,
        buffered: Bytes,
        buffers: Option<&Rc<ResponseBuffers>>,
    ) -> Self {
        let ahead = buffers.map(|buffers| ReadAhead::new(buffers.clone(), length));
        let mut body = Self {
            ahead,
            buffered,
            deadline: None,
            decoder,
            guards: Vec::new(),
            length,
            reading: Reading::Open(stream),
        };
        if let Some(ahead) = &mut body.ahead {
            let buffered = std::mem::take(&mut body.buffered);
            if !buffered.is_empty() {
                ahead.push(buffered);
            }
            body.decode_ahead();
        }
        body
    }

    /// Keeps a guard until the body was read to its end.
    pub(crate) fn hold(&mut self, guard: Box<dyn Any>) {
        match self.reading {
            Reading::Open(_) => self.guards.push(guard),
            Reading::Broken | Reading::Ended => drop(guard),
        }
    }

    /// Releases the guards before the body was read to its end.
    pub(crate) fn release_guards(&mut self) {
        self.guards.clear();
    }

    /// Returns whether the body broke off, as far as it was read.
    pub(crate) const fn is_broken(&self) -> bool {
        matches!(self.reading, Reading::Broken)
    }

    /// Returns the next piece, `None` at the end of the body, or an error if the body breaks off. Cancel safe.
    ///
    /// The piece before it must have been passed on.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if self.ahead.is_some() {
            return self.next_ahead().await;
        }
        if !self.buffered.is_empty() {
            return Ok(Some(std::mem::take(&mut self.buffered)));
        }
        let Reading::Open(stream) = &mut self.reading else {
            return Err(broken());
        };
        loop {
            match self.decoder.decode(&mut stream.buffer) {
                Ok(Decoded::Data(data)) => return Ok(Some(data)),
                Ok(Decoded::End) => return Ok(None),
                Ok(Decoded::NeedMore) => {}
                Err(_) => return Err(broken()),
            }
            if stream.fill().await? == 0 {
                return if self.decoder.ends_with_close() {
                    Ok(None)
                } else {
                    Err(broken())
                };
            }
        }
    }

    /// Reads as many pieces as the buffers have room for. Cancel safe.
    pub(crate) async fn read_ahead(&mut self) {
        while self.has_room() {
            self.read_piece().await;
        }
    }

    /// Reads the beginning of the body, as far as the buffers have room for it: if the body breaks off there, the
    /// request can still be sent again.
    pub(crate) async fn read_beginning(&mut self) {
        let is_short = |ahead: &ReadAhead| ahead.held_bytes() <= MAX_BUFFERED_BYTES;
        while self.ahead.as_ref().is_some_and(is_short) && self.has_room() {
            self.read_piece().await;
        }
    }

    fn has_room(&self) -> bool {
        matches!(self.reading, Reading::Open(_))
            && self.ahead.as_ref().is_some_and(ReadAhead::has_room)
    }

    async fn next_ahead(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let piece = self.ahead.as_mut().and_then(ReadAhead::take);
            if piece.is_some() {
                return Ok(piece);
            }
            match self.reading {
                Reading::Broken => return Err(broken()),
                Reading::Ended => return Ok(None),
                // This piece is read even if there is no room, so that each response goes on.
                Reading::Open(_) => self.read_piece().await,
            }
        }
    }

    /// Reads some bytes and decodes them.
    async fn read_piece(&mut self) {
        let Reading::Open(stream) = &mut self.reading else {
            return;
        };
        match stream.fill_at_most(PIECE_BYTES).await {
            Ok(1..) => self.decode_ahead(),
            Ok(0) if self.decoder.ends_with_close() => self.end(Reading::Ended),
            Ok(0) | Err(_) => self.end(Reading::Broken),
        }
    }

    /// Decodes all that was read.
    fn decode_ahead(&mut self) {
        let (Some(ahead), Reading::Open(stream)) = (&mut self.ahead, &mut self.reading) else {
            return;
        };
        loop {
            match self.decoder.decode(&mut stream.buffer) {
                Ok(Decoded::Data(data)) => ahead.push(data),
                Ok(Decoded::End) => return self.end(Reading::Ended),
                Ok(Decoded::NeedMore) => return,
                Err(_) => return self.end(Reading::Broken),
            }
        }
    }

    /// Closes the connection and releases the guards: the sender has nothing left to do for the response.
    fn end(&mut self, reading: Reading) {
        self.reading = reading;
        self.guards.clear();
    }
}

fn broken() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}
