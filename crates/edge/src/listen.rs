use std::{net::SocketAddr, rc::Rc, time::Duration};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::{net::TcpListener, time::sleep};

use crate::{
    app::App,
    byte_stream::ByteStream,
    edge_error::EdgeError,
    message_head::{MAX_HEADERS, MAX_HOP_HEADERS},
    peer_limits::PEER_LIMITS,
    server_connection::Handler,
    server_connection::ServerConnection,
    server_kind::ServerKind,
    server_options::ServerOptions,
    stop_phase::StopPhase,
};

/// How many connections may wait to be accepted: many clients connect at once.
const BACKLOG: i32 = 1_024;

/// The pause after an error of `accept`, such as when the process has run out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listening socket; connections that an earlier daemon closed at this address do not prevent it.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().map_err(|error| EdgeError::Listen { address, error })
}

/// Accepts connections and serves each in a task of its own. Those of peers have limits of their own. In a planned stop,
/// these are closed after a reply from [`StopPhase::Leaving`] on, and others from [`StopPhase::Stopping`] on.
pub(crate) async fn accept(
    app: Rc<App>,
    listener: Rc<TcpListener>,
    handler: Handler,
    kind: ServerKind,
) {
    let is_peer = kind == ServerKind::Peers;
    loop {
        let (mut stream, client_ip) = match listener.accept().await {
            Ok((stream, client_address)) => (ByteStream::new(stream), client_address.ip()),
            Err(error) => {
                log::warn!(event = "accept-failed", error = error.to_string().as_str(); "");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if is_peer {
            stream.enable_loss_detection();
        }
        let limits_app = app.clone();
        let options = Box::new(move || ServerOptions {
            interim_after: kind.interim_after(),
            limits: if is_peer {
                PEER_LIMITS
            } else {
                limits_app.limits.get()
            },
            max_headers: if is_peer {
                MAX_HOP_HEADERS
            } else {
                MAX_HEADERS
            },
            serves_absent_senders: kind.serves_absent_senders(),
        });
        let connection = ServerConnection::new(stream, client_ip, handler.clone(), options);
        let phase_app = app.clone();
        let is_stopping = move || {
            if is_peer {
                phase_app.stop_phase.get() >= StopPhase::Leaving
            } else {
                phase_app.stop_phase.get() >= StopPhase::Stopping
            }
        };
        tokio::task::spawn_local(connection.serve(is_stopping));
    }
}
