use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use medlarspool_proto::{
    FleetKey, PeerClient, ProtoError, TransferReply, TransferRequest, WireChannel,
};

use crate::peer_connection::PeerConnection;

/// The timeout for connecting to a peer, and that for opening a channel on the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections to peers, one for each address.
pub(crate) struct PeerPool {
    key: FleetKey,
    peer_cells: Mutex<HashMap<SocketAddr, Arc<ConnectionCell>>>,
}

/// One peer's connection, if there is one. The lock is held while connecting, so that tasks that need the
/// connection at the same time make only one.
type ConnectionCell = tokio::sync::Mutex<Option<Arc<PeerConnection>>>;

impl PeerPool {
    pub(crate) fn new(key: FleetKey) -> Self {
        Self {
            key,
            peer_cells: Mutex::default(),
        }
    }

    /// Returns the connection to a peer; makes one if there is none.
    pub(crate) async fn connection(
        &self,
        address: SocketAddr,
    ) -> Result<Arc<PeerConnection>, ProtoError> {
        let cell = self.cell(address);
        let mut cell = cell.lock().await;
        if let Some(connection) = cell.as_ref() {
            return Ok(Arc::clone(connection));
        }
        let connection = Arc::new(self.connect(address).await?);
        *cell = Some(Arc::clone(&connection));
        Ok(connection)
    }

    /// Makes a connection and opens a channel on it, outside the pool and for the caller alone.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<PeerConnection, ProtoError> {
        let client = PeerClient::connect(address, &self.key, CONNECT_TIMEOUT).await?;
        let channel = client
            .open(CONNECT_TIMEOUT)
            .await
            .map_err(|_| ProtoError::PeerSilent(address.to_string()))?;
        Ok(PeerConnection { channel, client })
    }

    /// Removes a broken connection from the pool, unless another has replaced it.
    pub(crate) async fn discard(&self, address: SocketAddr, channel: WireChannel) {
        let cell = self.cell(address);
        let mut current = cell.lock().await;
        if current
            .as_ref()
            .is_some_and(|current| current.channel == channel)
        {
            *current = None;
        }
    }

    /// Requests updates or whole lists from a peer. Returns `None` on any failure, and removes a connection
    /// on which the request failed.
    pub(crate) async fn transfer(
        &self,
        address: SocketAddr,
        request: TransferRequest,
        timeout: Duration,
    ) -> Option<TransferReply> {
        let connection = self.connection(address).await.ok()?;
        let reply = connection.client.transfer(request, timeout).await;
        if reply.is_err() {
            self.discard(address, connection.channel).await;
        }
        reply.ok()
    }

    fn cell(&self, address: SocketAddr) -> Arc<ConnectionCell> {
        let mut peer_cells = self
            .peer_cells
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peer_cells.entry(address).or_default())
    }
}
