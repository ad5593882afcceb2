use std::{
    cell::RefCell,
    future::poll_fn,
    io,
    mem::MaybeUninit,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::loss_detection::LossDetection;

/// The size of a read. Most messages fit, and the headers of a message keep the memory of the whole read.
const READ_BYTES: usize = 4 << 10;

/// The size of a read after one that was full, since each call has a cost.
const LONG_READ_BYTES: usize = 64 << 10;

/// How long sent data may stay unacknowledged before a connection counts as lost. Round trips take
/// milliseconds, and a lost packet is sent again after 200 ms and 600 ms.
const MAX_UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(1);

/// After how long without data a TCP keepalive probe is sent, and the interval between probes.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);

/// How many unanswered keepalive probes end a connection.
const MAX_KEEPALIVE_PROBES: u32 = 2;

thread_local! {
    /// Where bytes are received before they are appended to a connection's buffer, so that connections hold no buffer
    /// while they wait. A daemon has hundreds, which would hold 4 KiB each.
    static RECEIVED: RefCell<Box<[MaybeUninit<u8>]>> = RefCell::new(Box::new_uninit_slice(LONG_READ_BYTES));
}

/// A TCP connection with a buffer of bytes that were read but not consumed.
#[derive(Debug)]
pub(crate) struct ByteStream {
    pub(crate) buffer: BytesMut,
    /// Whether a request was sent on the connection before, a copy of whose response may still come.
    pub(crate) has_earlier_request: bool,
    /// When the connection became idle, if it is in a pool.
    pub(crate) idle_since: Instant,
    /// Whether the end of the stream was looked for since the connection was opened.
    end_was_checked: bool,
    last_read_was_full: bool,
    /// The id of the latest request that was sent on the connection, if it had one and was answered.
    pub(crate) latest_id: Option<Bytes>,
    loss_detection: LossDetection,
    stream: TcpStream,
}

impl ByteStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "socket-option", error = error.to_string().as_str(); "");
        }
        Self {
            buffer: BytesMut::new(),
            end_was_checked: false,
            has_earlier_request: false,
            idle_since: Instant::now(),
            last_read_was_full: false,
            latest_id: None,
            loss_detection: LossDetection::Off,
            stream,
        }
    }

    /// Opens a connection within `connect_timeout`; later it fails if the other end stops acknowledging.
    pub(crate) async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> io::Result<Self> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let mut stream = Self::new(stream);
        stream.enable_loss_detection();
        Ok(stream)
    }

    /// Makes the connection fail if the other end stops acknowledging data or keepalive probes. Otherwise a
    /// connection to a machine that is gone may stay open for ever.
    pub(crate) fn enable_loss_detection(&mut self) {
        self.loss_detection = LossDetection::On;
        self.set_max_unacknowledged_time(Some(MAX_UNACKNOWLEDGED_TIME));
        let socket = SockRef::from(&self.stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_AFTER)
            .with_interval(KEEPALIVE_AFTER)
            .with_retries(MAX_KEEPALIVE_PROBES);
        if let Err(error) = socket.set_tcp_keepalive(&keepalive) {
            log::debug!(event = "socket-option", error = error.to_string().as_str(); "");
        }
    }

    /// Lets the other end stop reading until it sends something again. While a long body is sent, its reader may wait
    /// for a slow client, and the kernel counts a closed receive window like unacknowledged data. The message's deadline
    /// limits the time instead.
    pub(crate) fn tolerate_slow_reader(&mut self) {
        if self.loss_detection == LossDetection::On {
            self.loss_detection = LossDetection::Suspended;
            self.set_max_unacknowledged_time(None);
        }
    }

    fn set_max_unacknowledged_time(&self, max_time: Option<Duration>) {
        if let Err(error) = SockRef::from(&self.stream).set_tcp_user_timeout(max_time) {
            log::debug!(event = "socket-option", error = error.to_string().as_str(); "");
        }
    }

    /// Reads some bytes into the buffer; returns 0 at the end of the stream. Cancel safe.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        let max_bytes = if self.last_read_was_full {
            LONG_READ_BYTES
        } else {
            READ_BYTES
        };
        self.fill_at_most(max_bytes).await
    }

    /// Reads what has arrived as [`ByteStream::fill`] does, or returns `None` if nothing has.
    ///
    /// That bytes or the end have arrived is known from the event that announced them, without a system call. The first
    /// read of an accepted connection may come before any event.
    pub(crate) fn try_fill(&mut self) -> Option<io::Result<usize>> {
        let end_was_checked = std::mem::replace(&mut self.end_was_checked, true);
        let filled = self.fill().now_or_never();
        if filled.is_some() || end_was_checked {
            return filled;
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(1..) => None,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            ended => Some(ended),
        }
    }

    /// Reads at most `max_bytes` into the buffer, which takes no more memory than what was read; returns 0 at the end
    /// of the stream. Cancel safe.
    pub(crate) async fn fill_at_most(&mut self, max_bytes: usize) -> io::Result<usize> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        let filled = poll_fn(|cx| {
            RECEIVED.with_borrow_mut(|received| {
                let max_bytes = max_bytes.min(received.len());
                self.poll_fill(cx, &mut received[..max_bytes])
            })
        });
        let filled = filled.await;
        self.last_read_was_full = matches!(filled, Ok(bytes) if bytes == max_bytes);
        if self.loss_detection == LossDetection::Suspended {
            self.loss_detection = LossDetection::On;
            self.set_max_unacknowledged_time(Some(MAX_UNACKNOWLEDGED_TIME));
        }
        filled
    }

    fn poll_fill(
        &mut self,
        cx: &mut Context<'_>,
        received: &mut [MaybeUninit<u8>],
    ) -> Poll<io::Result<usize>> {
        let mut received = ReadBuf::uninit(received);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut received))?;
        self.buffer.extend_from_slice(received.filled());
        Poll::Ready(Ok(received.filled().len()))
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes as [`Self::write`] does, and fails once the other end has taken nothing for `max_stall`.
    pub(crate) async fn write_without_stall(
        &mut self,
        mut bytes: &[u8],
        max_stall: Duration,
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match timeout(max_stall, self.stream.write(bytes)).await {
                Ok(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written?..],
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
        Ok(())
    }

    pub(crate) async fn shutdown(&mut self) {
        if let Err(error) = self.stream.shutdown().await {
            log::trace!(event = "shutdown", error = error.to_string().as_str(); "");
        }
    }

    /// Returns whether an idle connection is still open and has no unexpected bytes to read.
    pub(crate) fn is_reusable(&mut self) -> bool {
        let mut byte = [0];
        let has_no_data = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        has_no_data && self.buffer.is_empty()
    }

    /// Frees the buffer of a connection that becomes idle.
    pub(crate) fn mark_idle(&mut self) {
        self.buffer = BytesMut::new();
        self.idle_since = Instant::now();
    }
}
