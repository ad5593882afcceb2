use std::{net::SocketAddr, time::Duration};

use prost::Message;
use tonic::{
    Request, Status,
    client::Grpc,
    codegen::http::uri::PathAndQuery,
    metadata::{Ascii, MetadataValue},
    transport::{Channel, Endpoint},
};
use tonic_prost::ProstCodec;

use crate::{
    CallReply, CallRequest, ChannelRequest, CrashConfirmation, CrashNotice, FateRequest, FleetKey,
    MAX_MESSAGE_BYTES, ProtoError, TransferReply, TransferRequest, WireChannel, WireFateReply,
    peer_server::TOKEN_HEADER,
};

/// How long a connection with requests in flight may receive nothing before the client sends an HTTP/2
/// ping.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long the peer may take to answer an HTTP/2 ping before the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection to a peer, which fails when the peer stops answering HTTP/2 pings.
#[derive(Clone)]
pub struct PeerClient {
    channel: Channel,
    token: MetadataValue<Ascii>,
}

impl PeerClient {
    /// Connects to the peer at an address.
    ///
    /// It returns only once the connection is established, so a request was certainly not sent if
    /// connecting failed.
    ///
    /// # Errors
    ///
    /// Returns [`ProtoError::PeerAddress`] if the address can't be part of a URI, and
    /// [`ProtoError::PeerConnection`] if no connection is established within `connect_timeout`.
    pub async fn connect(
        address: SocketAddr,
        key: &FleetKey,
        connect_timeout: Duration,
    ) -> Result<Self, ProtoError> {
        let invalid_address = || ProtoError::PeerAddress(address.to_string());
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|_| invalid_address())?
            .connect_timeout(connect_timeout)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .tcp_nodelay(true);
        let token = MetadataValue::try_from(key.token()).map_err(|_| invalid_address())?;
        let channel = endpoint
            .connect()
            .await
            .map_err(|_| ProtoError::PeerConnection(address.to_string()))?;
        Ok(Self { channel, token })
    }

    /// Sends one attempt to the peer's gate.
    ///
    /// # Errors
    ///
    /// Returns tonic's status if no reply came; the request may then have run.
    pub async fn call(&self, request: CallRequest, timeout: Duration) -> Result<CallReply, Status> {
        self.send_unary("/medlarspool.Peer/Call", request, timeout)
            .await
    }

    /// Notifies the peer's gate of crashes.
    ///
    /// # Errors
    ///
    /// Returns tonic's status if no confirmation came.
    pub async fn crash(
        &self,
        notice: CrashNotice,
        timeout: Duration,
    ) -> Result<CrashConfirmation, Status> {
        self.send_unary("/medlarspool.Peer/Crash", notice, timeout)
            .await
    }

    /// Asks the peer's gate what became of one attempt.
    ///
    /// # Errors
    ///
    /// Returns tonic's status if no reply came.
    pub async fn fate(
        &self,
        request: FateRequest,
        timeout: Duration,
    ) -> Result<WireFateReply, Status> {
        self.send_unary("/medlarspool.Peer/Fate", request, timeout)
            .await
    }

    /// Requests updates of the configuration, or its whole lists, from the peer.
    ///
    /// # Errors
    ///
    /// Returns tonic's status if no reply came.
    pub async fn transfer(
        &self,
        request: TransferRequest,
        timeout: Duration,
    ) -> Result<TransferReply, Status> {
        self.send_unary("/medlarspool.Peer/Transfer", request, timeout)
            .await
    }

    /// Requests a channel for this connection from the peer's gate; each attempt then names it.
    ///
    /// # Errors
    ///
    /// Returns tonic's status if no reply came.
    pub async fn open(&self, timeout: Duration) -> Result<WireChannel, Status> {
        self.send_unary("/medlarspool.Peer/Open", ChannelRequest {}, timeout)
            .await
    }

    /// Sends a message with the fleet's token to the method at `path` and returns the reply.
    async fn send_unary<In, Out>(
        &self,
        path: &'static str,
        message: In,
        timeout: Duration,
    ) -> Result<Out, Status>
    where
        In: Message + 'static,
        Out: Default + Message + 'static,
    {
        let mut grpc = Grpc::new(self.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        grpc.ready()
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        let mut request = Request::new(message);
        request.set_timeout(timeout);
        request
            .metadata_mut()
            .insert(TOKEN_HEADER, self.token.clone());
        let path = PathAndQuery::from_static(path);
        let codec = ProstCodec::<In, Out>::default();
        let response = grpc.unary(request, path, codec).await?;
        Ok(response.into_inner())
    }
}
