use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, mpsc::Sender},
    thread::JoinHandle,
    time::Duration,
};

use crate::{DaemonError, control_message::ControlMessage, shared_state::SharedState};

/// The bytes of the IPv4 and UDP headers of each datagram, which the metrics of control bytes include.
const FRAMING_BYTES: u64 = 28;

/// The largest datagram that is read, in bytes; a longer one is truncated and then fails authentication.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The interval at which the receiving thread checks whether the daemon has stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The UDP socket for datagrams to and from peers; it counts the bytes sent and received, headers included.
pub(crate) struct DatagramSocket {
    shared: Arc<SharedState>,
    socket: UdpSocket,
}

impl DatagramSocket {
    pub(crate) fn bind(shared: Arc<SharedState>) -> Result<Self, DaemonError> {
        let address = shared.settings.peers_address;
        let listen_error = |error: io::Error| DaemonError::Listen {
            address: address.to_string(),
            cause: error.to_string(),
            purpose: "peers' datagrams",
        };
        let socket = UdpSocket::bind(address).map_err(listen_error)?;
        socket
            .set_read_timeout(Some(STOP_CHECK_INTERVAL))
            .map_err(listen_error)?;
        Ok(Self { shared, socket })
    }

    /// Starts the thread that forwards arriving datagrams to the control thread, until that thread ends or
    /// the daemon stops.
    pub(crate) fn start_receiver(
        self: Arc<Self>,
        control: Sender<ControlMessage>,
    ) -> Result<JoinHandle<()>, DaemonError> {
        std::thread::Builder::new()
            .name("datagrams".into())
            .spawn(move || self.forward_to_control(&control))
            .map_err(|error| DaemonError::Thread(error.to_string()))
    }

    /// Sends a sealed datagram; one that the kernel doesn't take is counted and treated as lost on the
    /// network.
    pub(crate) fn send(&self, address: SocketAddr, sealed: &[u8]) {
        if self.socket.send_to(sealed, address).is_err() {
            self.shared.metrics.datagrams_unsent.inc();
            return;
        }
        self.shared.metrics.datagrams_sent.inc();
        self.shared
            .metrics
            .control_bytes_sent
            .inc_by(sealed.len() as u64 + FRAMING_BYTES);
    }

    fn forward_to_control(&self, control: &Sender<ControlMessage>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while !self.shared.is_stopped() {
            let Ok((length, address)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            self.shared.metrics.datagrams_received.inc();
            self.shared
                .metrics
                .control_bytes_received
                .inc_by(length as u64 + FRAMING_BYTES);
            let sealed = buffer[..length].to_vec();
            if control
                .send(ControlMessage::Datagram { address, sealed })
                .is_err()
            {
                return;
            }
        }
    }
}
