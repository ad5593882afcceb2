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
    places: Mutex<HashMap<SocketAddr, Arc<ConnectionCell>>>,
}

/// Where one peer's connection stands; whoever connects holds the lock, so that a herd connects once.
type ConnectionCell = tokio::sync::Mutex<Option<Arc<PeerConnection>>>;

impl PeerPool {
    pub(crate) fn new(key: FleetKey) -> Self {
        Self {
            key,
            places: Mutex::default(),
        }
    }

    /// Returns the connection to a peer, a new one if there is none.
    pub(crate) async fn connection(
        &self,
        address: SocketAddr,
    ) -> Result<Arc<PeerConnection>, ProtoError> {
        let place = self.place(address);
        let mut place = place.lock().await;
        if let Some(connection) = place.as_ref() {
            return Ok(Arc::clone(connection));
        }
        let connection = Arc::new(self.connect(address).await?);
        *place = Some(Arc::clone(&connection));
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
    pub(crate) async fn give_up(&self, address: SocketAddr, channel: WireChannel) {
        let place = self.place(address);
        let mut held = place.lock().await;
        if held.as_ref().is_some_and(|held| held.channel == channel) {
            *held = None;
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
            self.give_up(address, connection.channel).await;
        }
        reply.ok()
    }

    fn place(&self, address: SocketAddr) -> Arc<ConnectionCell> {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(places.entry(address).or_default())
    }
}
