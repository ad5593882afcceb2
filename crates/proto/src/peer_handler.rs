use std::future::Future;

use crate::{
    CallReply, CallRequest, CrashConfirmation, CrashNotice, FateRequest, TransferReply,
    TransferRequest, WireChannel, WireFateReply,
};

/// Handles the requests of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Runs a request at the local upstream, or refuses it.
    fn call(&self, request: CallRequest) -> impl Future<Output = CallReply> + Send;

    /// Applies another gate's notice of crashes.
    fn crash(&self, notice: CrashNotice) -> impl Future<Output = CrashConfirmation> + Send;

    /// Returns updates of the configuration or its whole lists for a peer that is behind, or asks the peer
    /// to retry later.
    fn transfer(&self, request: TransferRequest) -> impl Future<Output = TransferReply> + Send;

    /// Returns what became of an earlier attempt, which the request identifies.
    fn fate(&self, request: FateRequest) -> impl Future<Output = WireFateReply> + Send;

    /// Opens a channel for a new connection.
    fn open(&self) -> impl Future<Output = WireChannel> + Send;
}
