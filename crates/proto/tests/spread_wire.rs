//! The wire form of messages about changes of the configuration.

use std::sync::Arc;

use medlarspool_config::{CredentialHash, CustomerEntry, Lists, PlanEntry, Snapshot};
use medlarspool_proto::{Datagram, FleetKey, ProtoError, SpreadPayload};
use medlarspool_spread::{SpreadMessage, update_between};
use medlarspool_types::{ConfigHead, ConfigVersion, Incarnation};
use proptest::prelude::*;
use prost::Message;
use rstest::rstest;

fn snapshot(version: u64, customers: usize) -> Snapshot {
    let customer = |index: usize| CustomerEntry {
        credential_sha256: CredentialHash::of(&format!("secret {index}")),
        customer: format!("customer-{index}").parse().unwrap(),
        plan: "plan".parse().unwrap(),
    };
    let plan = PlanEntry {
        plan: "plan".parse().unwrap(),
        uses: Vec::new(),
        weight: 1,
    };
    let customers = (0..customers).map(customer).collect();
    let lists = Lists::new(customers, vec![plan], Vec::new()).unwrap();
    let head = ConfigHead {
        version: ConfigVersion(version),
        digest: lists.digest(),
    };
    Snapshot::build(head, Arc::new(lists)).unwrap()
}

fn offer() -> SpreadMessage {
    let (base, next) = (snapshot(1, 3), snapshot(2, 4));
    let updates = vec![update_between(&base, &next)];
    SpreadMessage::Offer { updates }
}

fn key(text: &str) -> FleetKey {
    FleetKey::derive(text).unwrap()
}

/// Returns the sealed datagram that carries a message.
fn sealed(message: &SpreadMessage) -> Vec<u8> {
    let sender = "daemon-1".parse().unwrap();
    let head = snapshot(2, 4).head();
    let mut datagram = Datagram::from_sender(&sender, Incarnation(7), head);
    datagram.spread = Some(message.into());
    datagram.seal(&key("a key for this test"))
}

#[rstest]
#[case::digest(SpreadMessage::Digest { reply_wanted: true })]
#[case::offer(offer())]
#[case::pull(SpreadMessage::Pull { base: snapshot(1, 3).head() })]
#[case::referral(SpreadMessage::Referral)]
fn a_message_arrives_as_it_was_sent(#[case] message: SpreadMessage) {
    let datagram = Datagram::open(&key("a key for this test"), &sealed(&message)).unwrap();
    assert_eq!(datagram.head(), snapshot(2, 4).head());
    assert_eq!(datagram.sender, "daemon-1");
    assert_eq!(
        SpreadMessage::try_from(datagram.spread.unwrap()),
        Ok(message)
    );
}

#[test]
fn a_digest_takes_at_most_64_bytes() {
    let bytes = sealed(&SpreadMessage::Digest {
        reply_wanted: false,
    })
    .len();
    assert!(bytes <= 64, "{bytes} bytes");
}

#[test]
fn a_datagram_sealed_with_another_key_is_refused() {
    let opened = Datagram::open(&key("another key of a fleet"), &sealed(&offer()));
    assert_eq!(opened, Err(ProtoError::DatagramSeal));
}

#[test]
fn a_damaged_delta_is_refused() {
    let mut payload = SpreadPayload::from(&offer()).encode_to_vec();
    let truncated_len = payload.len() - 40;
    payload.truncate(truncated_len);
    assert!(SpreadPayload::decode(payload.as_slice()).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let sealed = key("a key for this test").seal(&bytes);
        if let Ok(datagram) = Datagram::open(&key("a key for this test"), &sealed) {
            let _ = datagram.spread.map(SpreadMessage::try_from);
        }
    }

    #[test]
    fn any_damage_of_a_datagram_is_detected(position in any::<prop::sample::Index>(), flip in 1_u8..) {
        let mut bytes = sealed(&offer());
        let position = position.index(bytes.len());
        bytes[position] ^= flip;
        prop_assert!(Datagram::open(&key("a key for this test"), &bytes).is_err());
    }

    #[test]
    fn any_damage_inside_an_offer_is_decoded_or_refused(
        position in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let mut bytes = SpreadPayload::from(&offer()).encode_to_vec();
        let position = position.index(bytes.len());
        bytes[position] ^= flip;
        if let Ok(payload) = SpreadPayload::decode(bytes.as_slice()) {
            let _ = SpreadMessage::try_from(payload);
        }
    }
}
