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

/// How long a connection to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections to peers, one for each.
pub(crate) struct PeerPool {
    key: FleetKey,
    peers: Mutex<HashMap<SocketAddr, Arc<ConnectionCell>>>,
}

/// Where one peer's connection stands; whoever connects holds the lock, so that a herd connects once.
type ConnectionCell = tokio::sync::Mutex<Option<Arc<PeerConnection>>>;

impl PeerPool {
    pub(crate) fn new(key: FleetKey) -> Self {
        Self {
            key,
            peers: Mutex::default(),
        }
    }

    /// Returns the connection to a peer, a new one if there is none.
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

    /// Opens a connection that nothing else is sent over.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<PeerConnection, ProtoError> {
        let client = PeerClient::connect(address, &self.key, CONNECT_TIMEOUT).await?;
        let channel = client
            .open(CONNECT_TIMEOUT)
            .await
            .map_err(|_| ProtoError::PeerSilent(address.to_string()))?;
        Ok(PeerConnection { channel, client })
    }

    /// Gives up a broken connection, unless it was replaced already.
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

    /// Asks a peer for updates or whole lists.
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
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(address).or_default())
    }
}
