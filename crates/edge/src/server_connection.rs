use std::{future::Future, net::IpAddr, pin::Pin, rc::Rc, time::Instant};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream::FuturesOrdered};
use medlarspool_adapter::headers;
use medlarspool_hop::{RefusalReason, hop_header};
use tokio::{
    sync::mpsc,
    time::{sleep_until, timeout, timeout_at},
};

use crate::{
    body_decoder::{BodyDecoder, Decoded},
    body_framing::BodyFraming,
    body_source::BodySource,
    byte_stream::ByteStream,
    failure::Failure,
    forwarded_request::id_text,
    http_error::HttpError,
    incoming_request::IncomingRequest,
    message_head::RequestHead,
    reply::{Reply, ReplyBody},
    reply_head::put_reply_head,
    reply_turns::ReplyTurns,
    request_scope::contain_request,
    response_body::ResponseBody,
    server_options::ServerOptions,
};

/// The most bytes of a body that are buffered before a request is handled. Only a request that is buffered
/// whole can be sent again.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The most pipelined requests of a connection that are handled at once.
const MAX_PIPELINED_REQUESTS: usize = 32;

/// How many pieces of a long body are read ahead.
const MAX_PIECES_AHEAD: usize = 4;

/// How long bytes are read and dropped after the last response: closing a connection with unread bytes would
/// reset it, and the client might lose the response.
const LINGER_TIME: std::time::Duration = std::time::Duration::from_millis(500);

/// A reply to come, and whether the client keeps the connection open.
type PendingReply = Pin<Box<dyn Future<Output = (Reply, bool)>>>;

/// Handles a request and returns the reply.
pub(crate) type Handler = Rc<dyn Fn(IncomingRequest) -> Pin<Box<dyn Future<Output = Reply>>>>;

/// One connection to a server of this daemon. Pipelined requests are handled concurrently and answered in their
/// order.
///
/// If the client closes the connection, the futures of unanswered requests are dropped, which cancels them.
pub(crate) struct ServerConnection {
    client_ip: IpAddr,
    handler: Handler,
    /// When the client last sent bytes, or could send or receive again.
    last_progress_at: Instant,
    last_used_at: Instant,
    options: Box<dyn Fn() -> ServerOptions>,
    pending_replies: FuturesOrdered<PendingReply>,
    reading: Reading,
    /// The number of replies that were queued so far.
    reply_count: u64,
    /// When the latest request was handled first.
    requested_at: Instant,
    stream: ByteStream,
    turns: Rc<ReplyTurns>,
}

/// What is read from the connection next.
enum Reading {
    /// A body that is buffered.
    Body {
        body: BytesMut,
        decoder: BodyDecoder,
        framing: BodyFraming,
        head: RequestHead,
    },
    /// A request's head, of which the first bytes came at `started_at`.
    Head { started_at: Option<Instant> },
    /// The rest of a long body, passed on to the handler in pieces.
    LongBody {
        decoder: BodyDecoder,
        /// How many more bytes of the body are accepted.
        bytes_left: u64,
        pieces: mpsc::Sender<Result<Bytes, HttpError>>,
    },
    /// Nothing any more: the connection ends after the pending replies.
    Nothing,
}

impl ServerConnection {
    pub(crate) fn new(
        stream: ByteStream,
        client_ip: IpAddr,
        handler: Handler,
        options: Box<dyn Fn() -> ServerOptions>,
    ) -> Self {
        Self {
            client_ip,
            handler,
            last_progress_at: Instant::now(),
            last_used_at: Instant::now(),
            options,
            pending_replies: FuturesOrdered::new(),
            reading: Reading::Head { started_at: None },
            reply_count: 0,
            requested_at: Instant::now(),
            stream,
            turns: Rc::default(),
        }
    }

    /// Serves until the client closes the connection or a reply ends it.
    pub(crate) async fn serve(mut self, is_stopping: impl Fn() -> bool) {
        let mut begun_count = 0;
        loop {
            self.parse_requests();
            if self.pending_replies.is_empty() && matches!(self.reading, Reading::Nothing) {
                return;
            }
            let can_read = self.can_read();
            let deadline = self.read_deadline();
            let options = (self.options)();
            let interim_after = options.interim_after;
            // What follows the last request is dropped, but the end of the stream cancels that request, too.
            let watches_end =
                matches!(self.reading, Reading::Nothing) && !options.serves_absent_senders;
            if self.reply_count > begun_count {
                if !options.serves_absent_senders {
                    // The end of the stream may have arrived with the request.
                    match self.try_read() {
                        Some(Ok(0) | Err(_)) => return,
                        Some(Ok(_)) if can_read => {
                            self.last_progress_at = Instant::now();
                            continue;
                        }
                        Some(Ok(_)) | None => {}
                    }
                }
                begun_count = self.reply_count;
            }
            tokio::select! {
                biased;
                Some((mut reply, keeps_alive)) = self.pending_replies.next(), if !self.pending_replies.is_empty() => {
                    // In a planned stop the connection ends with the last request that the client has begun.
                    self.parse_requests();
                    let is_last = self.pending_replies.is_empty() && !self.has_begun_request();
                    let closes_connection =
                        reply.closes_connection || !keeps_alive || (is_last && is_stopping());
                    let work = reply.work.take();
                    let written = self.write(reply, closes_connection).await;
                    drop(work);
                    self.turns.advance();
                    if written.is_err() {
                        return;
                    }
                    if closes_connection {
                        return self.linger().await;
                    }
                    self.last_used_at = Instant::now();
                    self.last_progress_at = self.last_used_at;
                }
                () = wait_for_capacity(&self.reading), if is_full(&self.reading) => {
                    self.last_progress_at = Instant::now();
                }
                read = self.stream.fill(), if can_read || watches_end => match read {
                    Ok(0) | Err(_) => return,
                    Ok(_) if watches_end => self.stream.buffer.clear(),
                    Ok(_) => self.last_progress_at = Instant::now(),
                },
                () = sleep_until_some(deadline) => {
                    if !self.handle_timeout() {
                        return;
                    }
                }
                () = sleep_for(interim_after), if interim_after.is_some() && !self.pending_replies.is_empty() => {
                    let interim = interim_response(self.requested_at.elapsed());
                    if self.stream.write(interim.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Returns whether bytes that are read now can be parsed soon.
    fn can_read(&self) -> bool {
        !matches!(self.reading, Reading::Nothing)
            && self.pending_replies.len() < MAX_PIPELINED_REQUESTS
            && !is_full(&self.reading)
    }

    /// Reads what has arrived, if the buffer may take it; returns `None` if nothing has.
    fn try_read(&mut self) -> Option<std::io::Result<usize>> {
        // Behind the last request of a connection there are no bytes to parse, but its end is to be noticed.
        let may_read = self.can_read() || matches!(self.reading, Reading::Nothing);
        may_read.then(|| self.stream.try_fill())?
    }

    /// Parses the buffer as far as possible and handles the requests in it.
    fn parse_requests(&mut self) {
        while self.pending_replies.len() < MAX_PIPELINED_REQUESTS {
            match self.parse_step() {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    self.reading = Reading::Nothing;
                    self.reject(error);
                    return;
                }
            }
        }
    }

    /// Parses the next head or piece of a body; returns whether there may be more in the buffer.
    fn parse_step(&mut self) -> Result<bool, HttpError> {
        let options = (self.options)();
        let limits = options.limits;
        match std::mem::replace(&mut self.reading, Reading::Nothing) {
            Reading::Head { started_at } => {
                let started_at = if self.stream.buffer.is_empty() {
                    None
                } else {
                    started_at.or_else(|| Some(Instant::now()))
                };
                self.reading = Reading::Head { started_at };
                skip_empty_lines(&mut self.stream.buffer);
                if self.stream.buffer.is_empty() {
                    return Ok(false);
                }
                let Some(head) = RequestHead::take(&mut self.stream.buffer, &options)? else {
                    return Ok(false);
                };
                let framing = BodyFraming::of_request(&head.headers, head.is_http_11)?;
                if matches!(framing, BodyFraming::Length(length) if length > limits.max_body_bytes)
                {
                    return Err(HttpError::BodyTooLong);
                }
                self.reading = Reading::Body {
                    body: BytesMut::new(),
                    decoder: BodyDecoder::new(framing),
                    framing,
                    head,
                };
                Ok(true)
            }
            Reading::Body {
                mut body,
                mut decoder,
                framing,
                head,
            } => loop {
                match decoder.decode(&mut self.stream.buffer)? {
                    Decoded::Data(data) => body.extend_from_slice(&data),
                    Decoded::End => {
                        self.handle(head, framing, body.freeze(), None);
                        return Ok(true);
                    }
                    Decoded::NeedMore => {
                        self.reading = Reading::Body {
                            body,
                            decoder,
                            framing,
                            head,
                        };
                        return Ok(false);
                    }
                }
                if body.len() > MAX_BUFFERED_BYTES && !decoder.is_ended() {
                    let (pieces, receiver) = mpsc::channel(MAX_PIECES_AHEAD);
                    let bytes_left = limits.max_body_bytes.saturating_sub(body.len() as u64);
                    let body_rest = BodySource { pieces: receiver };
                    self.handle(head, framing, body.freeze(), Some(body_rest));
                    self.reading = Reading::LongBody {
                        decoder,
                        bytes_left,
                        pieces,
                    };
                    return Ok(true);
                }
            },
            Reading::LongBody {
                mut decoder,
                mut bytes_left,
                pieces,
            } => {
                while pieces.capacity() > 0 || pieces.is_closed() {
                    match decoder.decode(&mut self.stream.buffer)? {
                        Decoded::Data(data) => {
                            let Some(remaining) = bytes_left.checked_sub(data.len() as u64) else {
                                // The handler gets the error; the connection ends after its reply.
                                let _ = pieces.try_send(Err(HttpError::BodyTooLong));
                                return Ok(false);
                            };
                            bytes_left = remaining;
                            // An error means that the handler replied before the body ended. The rest is read and
                            // dropped: closing a connection with unread bytes would reset it, and the client might lose
                            // the response.
                            let _ = pieces.try_send(Ok(data));
                        }
                        Decoded::End => {
                            let _ = pieces.try_send(Ok(Bytes::new()));
                            self.reading = Reading::Head { started_at: None };
                            return Ok(true);
                        }
                        Decoded::NeedMore => break,
                    }
                }
                self.reading = Reading::LongBody {
                    decoder,
                    bytes_left,
                    pieces,
                };
                Ok(false)
            }
            Reading::Nothing => Ok(false),
        }
    }

    /// Starts handling a request.
    fn handle(
        &mut self,
        head: RequestHead,
        framing: BodyFraming,
        body: Bytes,
        body_rest: Option<BodySource>,
    ) {
        let keeps_alive = head.keeps_alive();
        let id = head.headers.get(headers::REQUEST_ID).cloned();
        self.requested_at = Instant::now();
        let incoming = IncomingRequest {
            arrived_at: self.requested_at,
            body,
            client_ip: self.client_ip,
            framing,
            head,
            body_rest,
        };
        let handler = self.handler.clone();
        let (number, turns) = (self.reply_count, self.turns.clone());
        self.reply_count += 1;
        self.pending_replies.push_back(Box::pin(async move {
            let work = contain_request(id.clone(), async { handler(incoming).await });
            // It isn't known how far a request got that panicked. To an entry, a reply without a verdict says so.
            let mut reply = work.await.unwrap_or_else(|| {
                Failure::may_have_run(RefusalReason::HopLost).reply(id.as_ref())
            });
            // A streamed body holds a slot and a connection, also while the replies to earlier requests are written.
            if let ReplyBody::Stream(body) = &mut reply.body
                && let Some(deadline) = body.deadline
                && !read_ahead_during(body, turns.wait_for(number, deadline)).await
            {
                let failure = Failure::may_have_run(RefusalReason::Deadline);
                return (failure.reply(id.as_ref()), keeps_alive);
            }
            (reply, keeps_alive)
        }));
        self.reading = if keeps_alive {
            Reading::Head { started_at: None }
        } else {
            Reading::Nothing
        };
    }

    /// Returns whether a part of a request was read that isn't handled yet, or whose body a handler awaits.
    fn has_begun_request(&self) -> bool {
        match &self.reading {
            Reading::Body { .. } => true,
            Reading::Head { started_at } => started_at.is_some(),
            Reading::LongBody { pieces, .. } => !pieces.is_closed(),
            Reading::Nothing => false,
        }
    }

    /// Queues an error reply that ends the connection.
    fn reject(&mut self, error: HttpError) {
        let mut reply = Reply::status(error.status());
        reply.closes_connection = true;
        self.pending_replies
            .push_back(Box::pin(std::future::ready((reply, false))));
    }

    /// Returns when reading times out, if it does: a request's head has a limit from its first byte on, and
    /// everything else a limit on the time without progress. A client that waits for a reply, or for its body to be
    /// passed on, isn't idle; the deadline of its request limits that time.
    fn read_deadline(&self) -> Option<Instant> {
        let limits = (self.options)().limits;
        match &self.reading {
            Reading::Body { .. } => Some(self.last_progress_at + limits.idle_timeout),
            Reading::Head {
                started_at: Some(started_at),
            } => Some(*started_at + limits.header_timeout),
            Reading::Head { started_at: None } => self
                .pending_replies
                .is_empty()
                .then(|| self.last_used_at + limits.idle_timeout),
            Reading::LongBody { .. } => self
                .can_read()
                .then(|| self.last_progress_at + limits.idle_timeout),
            Reading::Nothing => None,
        }
    }

    /// Handles a read timeout; returns whether the connection goes on, to reply to the requests that came before or
    /// to one that came too slowly.
    fn handle_timeout(&mut self) -> bool {
        match std::mem::replace(&mut self.reading, Reading::Nothing) {
            Reading::Head { started_at: None } | Reading::Nothing => false,
            Reading::Body { .. }
            | Reading::Head {
                started_at: Some(_),
            } => {
                self.reject(HttpError::TooSlow);
                true
            }
            Reading::LongBody { pieces, .. } => {
                // An error means that the handler needs no more of the body. Its reply may still be awaited.
                let _ = pieces.try_send(Err(HttpError::TooSlow));
                true
            }
        }
    }

    /// Writes a reply, and with `closes_connection` announces that the connection is closed after it.
    ///
    /// While pieces of a streamed body are awaited, bytes of further requests are read into the buffer; if the
    /// client closes the connection then, that is an error.
    async fn write(&mut self, reply: Reply, closes_connection: bool) -> std::io::Result<()> {
        let mut out = BytesMut::with_capacity(512);
        match reply.body {
            ReplyBody::Full(body) => {
                let framing = BodyFraming::Length(body.len() as u64);
                put_reply_head(
                    &mut out,
                    reply.status,
                    &reply.headers,
                    framing,
                    closes_connection,
                );
                out.extend_from_slice(&body);
                // A client that reads nothing must not hold the replies to its later requests, which may hold slots.
                let max_stall = (self.options)().limits.idle_timeout;
                self.stream.write_without_stall(&out, max_stall).await
            }
            ReplyBody::Stream(mut body) => {
                let framing = body
                    .length
                    .map_or(BodyFraming::Chunked, BodyFraming::Length);
                put_reply_head(
                    &mut out,
                    reply.status,
                    &reply.headers,
                    framing,
                    closes_connection,
                );
                let deadline = body.deadline;
                let written = self.write_stream(out, &mut body, framing);
                let Some(deadline) = deadline else {
                    return written.await;
                };
                // The body may have no end, and the client may read nothing. The connection breaks off then, without
                // the end of the body.
                let result = timeout_at(deadline.into(), written).await;
                result.unwrap_or_else(|_| {
                    let id = id_text(reply.headers.get(headers::REQUEST_ID));
                    log::info!(event = "answer-cut-off", id = id; "");
                    Err(std::io::ErrorKind::TimedOut.into())
                })
            }
        }
    }

    /// Writes what is in `out` and then the pieces of a streamed body, each as soon as it is read.
    async fn write_stream(
        &mut self,
        mut out: BytesMut,
        body: &mut ResponseBody,
        framing: BodyFraming,
    ) -> std::io::Result<()> {
        self.stream.tolerate_slow_reader();
        loop {
            let may_read = self.stream.buffer.len() < MAX_BUFFERED_BYTES;
            let piece = tokio::select! {
                piece = body.next() => piece?,
                read = self.stream.fill(), if may_read => match read {
                    Ok(1..) => continue,
                    _ => return Err(std::io::ErrorKind::BrokenPipe.into()),
                },
            };
            let is_end = piece.is_none();
            let piece = piece.unwrap_or_default();
            let bytes = if framing == BodyFraming::Chunked {
                if !piece.is_empty() || is_end {
                    out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
                    out.extend_from_slice(&piece);
                    out.extend_from_slice(b"\r\n");
                }
                drop(piece);
                out.split().freeze()
            } else if out.is_empty() {
                piece
            } else {
                out.extend_from_slice(&piece);
                drop(piece);
                out.split().freeze()
            };
            read_ahead_during(body, self.stream.write(&bytes)).await?;
            if is_end {
                return Ok(());
            }
        }
    }

    /// Closes the connection for writing, and reads and drops what the client still sends for a while.
    async fn linger(mut self) {
        self.stream.shutdown().await;
        let drained = async {
            while matches!(self.stream.fill().await, Ok(1..)) {
                self.stream.buffer.clear();
            }
        };
        // After a timeout the client has had time to read its response.
        let _ = timeout(LINGER_TIME, drained).await;
    }
}

/// Returns an interim response, which shows another daemon that its request arrived `age` ago and is being handled.
fn interim_response(age: std::time::Duration) -> String {
    let age_ms = age.as_millis();
    format!(
        "HTTP/1.1 102 Processing\r\n{}: {age_ms}\r\n\r\n",
        hop_header::AGE_MS
    )
}

/// Awaits `work`, and reads a response's body ahead as long as that takes.
async fn read_ahead_during<T>(body: &mut ResponseBody, work: impl Future<Output = T>) -> T {
    let mut work = std::pin::pin!(work);
    tokio::select! {
        biased;
        result = &mut work => return result,
        () = body.read_ahead() => {}
    }
    work.await
}

async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

async fn sleep_for(duration: Option<std::time::Duration>) {
    match duration {
        Some(duration) => tokio::time::sleep(duration).await,
        None => std::future::pending().await,
    }
}

/// Returns whether the handler has to read more of a long body before more is read from the connection.
fn is_full(reading: &Reading) -> bool {
    matches!(reading, Reading::LongBody { pieces, .. } if pieces.capacity() == 0 && !pieces.is_closed())
}

async fn wait_for_capacity(reading: &Reading) {
    if let Reading::LongBody { pieces, .. } = reading {
        // An error means that the handler dropped the body, which the next parse step notices.
        let _ = pieces.reserve().await;
    }
}

fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
}
