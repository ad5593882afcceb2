//! The protocol between daemons: prost messages derived by hand, the sealed datagram and the gRPC service.
//!
//! See `docs/design/overview.md` for what travels by datagram and what by gRPC.

mod call_reply;
mod call_request;
mod fate_request;
mod fleet_key;
mod header;
mod load_report;
mod peer_client;
mod peer_handler;
mod peer_server;
mod proto_error;
mod refusal;
mod wire_head;
mod wire_verdict;

pub use crate::{
    call_reply::CallReply, call_request::CallRequest, fate_request::FateRequest,
    fleet_key::FleetKey, header::Header, load_report::LoadReport, peer_client::PeerClient,
    peer_handler::PeerHandler, peer_server::PeerServer, proto_error::ProtoError, refusal::Refusal,
    wire_head::WireHead, wire_verdict::WireVerdict,
};

/// The largest message that a daemon takes over gRPC, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
