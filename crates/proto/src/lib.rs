//! The protocol between daemons: handwritten prost messages, authenticated datagrams and the gRPC service.
//!
//! See `docs/design/overview.md` for what is sent by datagram and what by gRPC.

mod call_reply;
mod call_request;
mod channel_request;
mod crash_confirmation;
mod crash_notice;
mod datagram;
mod fate_request;
mod fleet_key;
mod header;
mod load_report;
mod membership_accusation;
mod membership_announcement;
mod membership_detail;
mod membership_kind;
mod membership_payload;
mod membership_requests;
mod membership_state;
mod membership_updates;
mod membership_zone;
mod peer_client;
mod peer_handler;
mod peer_server;
mod proto_error;
mod refusal;
mod spread_kind;
mod spread_offer;
mod spread_payload;
mod transfer_reply;
mod transfer_request;
mod wire_channel;
mod wire_crash;
mod wire_fate;
mod wire_fate_reply;
mod wire_head;
mod wire_verdict;

pub use crate::{
    call_reply::CallReply,
    call_request::CallRequest,
    channel_request::ChannelRequest,
    crash_confirmation::CrashConfirmation,
    crash_notice::CrashNotice,
    datagram::Datagram,
    fate_request::FateRequest,
    fleet_key::FleetKey,
    header::Header,
    load_report::LoadReport,
    membership_accusation::WireAccusation,
    membership_announcement::WireAnnouncement,
    membership_detail::WireDetail,
    membership_kind::MembershipKind,
    membership_payload::MembershipPayload,
    membership_requests::{
        WireAck, WireBusy, WireDetailReply, WireDetailRequest, WireDigests, WirePing,
        WirePingRequest, WireStateReply, WireStateRequest,
    },
    membership_state::{WireAccusationKind, WireAnnouncedState, WireUpstreamState},
    membership_updates::WireUpdates,
    membership_zone::WireZone,
    peer_client::PeerClient,
    peer_handler::PeerHandler,
    peer_server::PeerServer,
    proto_error::ProtoError,
    refusal::Refusal,
    spread_kind::SpreadKind,
    spread_offer::SpreadOffer,
    spread_payload::{SpreadPayload, decode_updates},
    transfer_reply::TransferReply,
    transfer_request::TransferRequest,
    wire_channel::WireChannel,
    wire_crash::WireCrash,
    wire_fate::WireFate,
    wire_fate_reply::WireFateReply,
    wire_head::WireHead,
    wire_verdict::WireVerdict,
};

/// The largest gRPC message that a daemon sends or accepts, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
