//! No received bytes make a decoder panic, and no altered datagram is accepted.

use medlarspool_membership::Message;
use medlarspool_proto::{
    CallReply, CallRequest, Datagram, FateRequest, FleetKey, TransferReply, TransferRequest,
};
use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion, Incarnation};
use proptest::prelude::*;
use prost::Message as _;

fn key() -> FleetKey {
    FleetKey::derive("a key for these tests").expect("a key of at least 16 characters")
}

fn datagram(version: u64, incarnation: u64) -> Datagram {
    let head = ConfigHead {
        digest: ConfigDigest(7),
        version: ConfigVersion(version),
    };
    let sender = "instance-1".parse().expect("a valid instance id");
    Datagram::from_sender(&sender, Incarnation(incarnation), head)
}

/// Decodes bytes as each kind of message, and ignores whether that succeeds.
fn decode_as_every_message(bytes: &[u8]) {
    if let Ok(datagram) = Datagram::decode(bytes) {
        let _ = datagram.head();
        let _ = datagram.membership.map(Message::try_from);
    }
    if let Ok(reply) = CallReply::decode(bytes) {
        let _ = (reply.typed_verdict(), reply.refusal());
    }
    let _ = CallRequest::decode(bytes);
    let _ = FateRequest::decode(bytes);
    let _ = TransferReply::decode(bytes);
    let _ = TransferRequest::decode(bytes);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn a_sealed_datagram_is_opened_whole(version: u64, incarnation: u64) {
        let sent = datagram(version, incarnation);
        let opened = Datagram::open(&key(), &sent.seal(&key())).expect("a datagram sealed with this key");
        prop_assert_eq!(opened, sent);
    }

    #[test]
    fn an_altered_datagram_is_refused(version: u64, position: prop::sample::Index, flip in 1_u8..) {
        let mut sealed = datagram(version, 1).seal(&key());
        let position = position.index(sealed.len());
        sealed[position] ^= flip;
        prop_assert!(Datagram::open(&key(), &sealed).is_err());
    }

    #[test]
    fn another_fleets_datagram_is_refused(version: u64) {
        let other = FleetKey::derive("the key of another fleet").expect("a key of at least 16 characters");
        prop_assert!(Datagram::open(&key(), &datagram(version, 1).seal(&other)).is_err());
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), ..600)) {
        decode_as_every_message(&bytes);
        prop_assert!(Datagram::open(&key(), &bytes).is_err());
    }

    #[test]
    fn a_cut_off_datagram_is_refused(version in 1_u64.., cut: prop::sample::Index) {
        let sealed = datagram(version, 1).seal(&key());
        let length = cut.index(sealed.len());
        prop_assert!(Datagram::open(&key(), &sealed[..length]).is_err());
    }
}
