use std::future::Future;

use crate::{
    CallReply, CallRequest, CrashConfirmation, CrashNotice, FateRequest, TransferReply,
    TransferRequest, WireChannel, WireFateReply,
};

/// What a daemon does for its peers; implemented at the daemon's edge.
pub trait PeerHandler: Send + Sync + 'static {
    /// Runs a request at the local upstream, or refuses it.
    fn call(&self, request: CallRequest) -> impl Future<Output = CallReply> + Send;

    /// Takes in what another gate tells of crashes.
    fn crash(&self, notice: CrashNotice) -> impl Future<Output = CrashConfirmation> + Send;

    /// Gives updates or whole lists to a peer that is behind, or puts it off.
    fn transfer(&self, request: TransferRequest) -> impl Future<Output = TransferReply> + Send;

    /// Says what became of an earlier try.
    fn fate(&self, request: FateRequest) -> impl Future<Output = WireFateReply> + Send;

    /// Opens a channel for a new connection.
    fn open(&self) -> impl Future<Output = WireChannel> + Send;
}
