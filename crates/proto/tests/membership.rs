//! Messages about members are decoded as they were sent, and their encoding never exceeds `Message::max_bytes`.

use std::time::Duration;

use medlarspool_membership::{
    Accusation, AccusationKind, AnnouncedState, Announcement, BucketSet, Member, MemberUpdate,
    Message, ServiceKey, UpstreamDetail, UpstreamState,
};
use medlarspool_proto::{Datagram, FleetKey, MembershipPayload};
use medlarspool_types::{Address, ConfigDigest, ConfigHead, ConfigVersion, Incarnation};
use proptest::prelude::*;
use prost::Message as _;

/// Returns ids and names of the lengths that are allowed: 1 to 64 characters.
fn text() -> impl Strategy<Value = String> {
    "[a-z0-9.-]{1,64}"
}

fn announcement() -> impl Strategy<Value = MemberUpdate> {
    (
        (text(), text(), text()),
        any::<(bool, u128, u16, u128, u16)>(),
        any::<(u64, u64, Option<u32>)>(),
    )
        .prop_map(
            |((instance, zone, region), (v4, call, call_port, control, port), numbers)| {
                MemberUpdate::Announcement(Announcement {
                    member: Member {
                        availability_zone: zone.parse().unwrap(),
                        call_address: address(v4, call, call_port),
                        control_address: address(v4, control, port),
                        incarnation: Incarnation(numbers.0),
                        instance: instance.parse().unwrap(),
                        region: region.parse().unwrap(),
                    },
                    sequence: numbers.1,
                    service: numbers.2.map(ServiceKey),
                    state: AnnouncedState::Left,
                    upstream: UpstreamState::Refusing,
                })
            },
        )
}

fn address(v4: bool, bits: u128, port: u16) -> Address {
    let bits = bits.to_be_bytes();
    if v4 {
        Address::from(([bits[0], bits[1], bits[2], bits[3]], port))
    } else {
        Address::from((bits, port))
    }
}

fn accusation() -> impl Strategy<Value = MemberUpdate> {
    (any::<u32>(), any::<u64>(), text()).prop_map(|(accuser, incarnation, instance)| {
        MemberUpdate::Accusation(Accusation {
            accuser,
            incarnation: Incarnation(incarnation),
            instance: instance.parse().unwrap(),
            kind: AccusationKind::Dead,
        })
    })
}

/// Returns updates in the order in which they are decoded: announcements before accusations.
fn updates() -> impl Strategy<Value = Vec<MemberUpdate>> {
    let announcements = prop::collection::vec(announcement(), 0..6);
    let accusations = prop::collection::vec(accusation(), 0..6);
    (announcements, accusations).prop_map(|(announcements, accusations)| {
        announcements.into_iter().chain(accusations).collect()
    })
}

fn detail() -> impl Strategy<Value = UpstreamDetail> {
    (any::<(bool, u64, u64, u64, u32, u64)>(), text()).prop_map(|(numbers, instance)| {
        UpstreamDetail {
            cold: numbers.0,
            generation: numbers.1,
            incarnation: Incarnation(numbers.2),
            instance: instance.parse().unwrap(),
            process_incarnation: Incarnation(numbers.5),
            sequence: numbers.3,
            slots: numbers.4,
        }
    })
}

fn message() -> impl Strategy<Value = Message> {
    let number = any::<u64>();
    prop_oneof![
        (number, any::<bool>(), updates()).prop_map(|(number, relayed, updates)| Message::Ack {
            number,
            relayed,
            updates
        }),
        (any::<u32>(), updates()).prop_map(|(millis, updates)| Message::Busy {
            retry_after: Duration::from_millis(millis.into()),
            updates
        }),
        (prop::collection::vec(detail(), 0..12), text(), updates()).prop_map(
            |(details, service, updates)| Message::DetailReply {
                details,
                service: service.parse().unwrap(),
                updates
            }
        ),
        (number, text()).prop_map(|(digest, service)| Message::DetailRequest {
            digest,
            service: service.parse().unwrap()
        }),
        prop::collection::vec(any::<u32>(), BucketSet::COUNT)
            .prop_map(|buckets| Message::DigestReply { buckets }),
        number.prop_map(|root| Message::DigestRequest { root }),
        updates().prop_map(|updates| Message::Gossip { updates }),
        number.prop_map(|number| Message::Nack { number }),
        (number, updates()).prop_map(|(number, updates)| Message::Ping { number, updates }),
        (number, any::<(bool, u128, u16)>(), text()).prop_map(
            |(number, (v4, bits, port), subject)| Message::PingRequest {
                address: address(v4, bits, port),
                number,
                subject: subject.parse().unwrap()
            }
        ),
        (any::<[u64; 4]>(), updates()).prop_map(|(buckets, updates)| Message::StateReply {
            buckets: BucketSet::from_words(buckets),
            updates
        }),
        (any::<[u64; 4]>(), announcement()).prop_map(|(buckets, update)| {
            let MemberUpdate::Announcement(announcement) = update else {
                unreachable!()
            };
            Message::StateRequest {
                announcement,
                buckets: BucketSet::from_words(buckets),
            }
        }),
    ]
}

proptest! {
    #[test]
    fn a_message_is_decoded_as_sent_and_takes_at_most_max_bytes(message in message()) {
        let payload = MembershipPayload::from(&message);
        prop_assert!(payload.encoded_len() <= message.max_bytes());
        prop_assert_eq!(Message::try_from(payload).unwrap(), message);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = MembershipPayload::decode(bytes.as_slice()).map(Message::try_from);
    }
}

#[test]
fn a_full_digest_fits_a_datagram_with_the_longest_names() {
    let key = FleetKey::derive("0123456789abcdef").unwrap();
    let sender = "x".repeat(64).parse().unwrap();
    let head = ConfigHead {
        digest: ConfigDigest(u128::MAX),
        version: ConfigVersion(u64::MAX),
    };
    let mut datagram = Datagram::from_sender(&sender, Incarnation(u64::MAX), head);
    let message = Message::DigestReply {
        buckets: vec![u32::MAX; BucketSet::COUNT],
    };
    datagram.membership = Some(MembershipPayload::from(&message));
    assert!(datagram.seal(&key).len() <= Datagram::MAX_BYTES);
}
