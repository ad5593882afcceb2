use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use medlarspool_proto::{FleetKey, PeerClient, ProtoError};
use tokio::runtime::Handle;

/// How long a connection to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections to peers, one for each.
pub(crate) struct PeerPool {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
    key: FleetKey,
    runtime: Handle,
}

impl PeerPool {
    pub(crate) fn new(key: FleetKey, runtime: Handle) -> Self {
        Self {
            clients: Mutex::default(),
            key,
            runtime,
        }
    }

    pub(crate) fn client(&self, address: SocketAddr) -> Result<PeerClient, ProtoError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let _entered = self.runtime.enter();
        let client = PeerClient::new(address, &self.key, CONNECT_TIMEOUT)?;
        clients.insert(address, client.clone());
        Ok(client)
    }
}
