use std::time::{Duration, Instant};

use medlarspool_membership::{
    AnnouncedState, Announcement, Member, MemberUpdate, Membership, MembershipAction,
    MembershipEvent, MembershipSettings, Message, UpstreamState,
};
use medlarspool_proto::{Datagram, FleetKey, MembershipPayload};
use medlarspool_types::{Address, ConfigHead, Incarnation, InstanceId};

/// The step by which the pair's clock moves.
const STEP: Duration = Duration::from_millis(10);

/// The words in one datagram while views are filled.
const UPDATES_PER_DATAGRAM: usize = 10;

/// Two cores whose views differ, joined without loss, for counting what it costs to make them agree.
///
/// Every address leads to the other core, which stands for all members.
pub struct MembershipPair {
    /// Bytes sent by either for the second core's repair, framing included.
    pub bytes: usize,
    /// Datagrams sent by either for the second core's repair.
    pub messages: usize,
    /// The time since the start by the pair's clock.
    pub elapsed: Duration,
    cores: [Membership; 2],
    key: FleetKey,
    start: Instant,
}

impl MembershipPair {
    /// Creates two cores of which the first knows `first` members and the second `second` of them.
    ///
    /// # Panics
    ///
    /// Panics if the bench's own names are refused.
    #[must_use]
    pub fn new(first: usize, second: usize, settings: &MembershipSettings) -> Self {
        let start = Instant::now();
        let core = |index: usize, known: usize| {
            let seed = u64::try_from(index).unwrap_or_default();
            let own_member = sample_member(index);
            let mut core = Membership::new(settings.clone(), own_member, seed, start);
            add_members(&mut core, known, start);
            core
        };
        Self {
            bytes: 0,
            cores: [core(0, first), core(1, second)],
            elapsed: Duration::ZERO,
            key: FleetKey::derive("membership bench key").expect("the key is long enough"),
            messages: 0,
            start,
        }
    }

    /// Tells the second core of the first, so that it asks.
    pub fn introduce(&mut self) {
        let updates = vec![MemberUpdate::Announcement(
            self.cores[0].own_announcement().clone(),
        )];
        self.deliver(0, 1, Message::Gossip { updates });
    }

    /// Lets the first core learn of more members, and counts anew from then on.
    pub fn diverge(&mut self, members: usize) {
        let now = self.now();
        add_members(&mut self.cores[0], members, now);
        self.bytes = 0;
        self.messages = 0;
    }

    /// Lets the second core ask until the views agree; returns whether they do in time.
    pub fn run_until_agreed(&mut self, max_wait: Duration) -> bool {
        while self.elapsed < max_wait {
            if self.cores[0].view_digest() == self.cores[1].view_digest() {
                return true;
            }
            self.elapsed += STEP;
            for index in 0..2 {
                if self.cores[index].next_wakeup() <= self.now() {
                    self.handle_event(index, MembershipEvent::Tick);
                }
            }
        }
        false
    }

    /// Returns the bytes that one exchange of the whole view takes.
    #[must_use]
    pub fn whole_view_bytes(&self) -> usize {
        let updates: Vec<MemberUpdate> = self.cores[0]
            .members()
            .map(|member| MemberUpdate::Announcement(member.announcement.clone()))
            .collect();
        let datagrams = updates.chunks(UPDATES_PER_DATAGRAM);
        datagrams
            .map(|updates| {
                self.datagram_bytes(
                    0,
                    &Message::Gossip {
                        updates: updates.to_vec(),
                    },
                )
            })
            .sum()
    }

    fn datagram_bytes(&self, from: usize, message: &Message) -> usize {
        let own_member = &self.cores[from].own_announcement().member;
        let mut datagram = Datagram::from_sender(
            &own_member.instance,
            own_member.incarnation,
            ConfigHead::default(),
        );
        datagram.membership = Some(MembershipPayload::from(message));
        datagram.seal(&self.key).len() + Datagram::IP_UDP_HEADER_BYTES
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let sender = &self.cores[from].own_announcement().member;
        let event = MembershipEvent::Received {
            address: sender.control_address,
            incarnation: sender.incarnation,
            message,
            sender: sender.instance.clone(),
        };
        self.handle_event(to, event);
    }

    fn handle_event(&mut self, index: usize, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        self.cores[index].handle(now, event, &mut actions);
        for action in actions {
            if let MembershipAction::Send { message, .. } = action
                && is_repair_message(&message)
            {
                if belongs_to_second_repair(index, &message) {
                    self.bytes += self.datagram_bytes(index, &message);
                    self.messages += 1;
                }
                self.deliver(index, 1 - index, message);
            }
        }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }
}

/// Fills a core's view with members from the place 1 on.
///
/// # Panics
///
/// Panics if the bench's own names are refused.
pub fn add_members(core: &mut Membership, members: usize, now: Instant) {
    let indices: Vec<usize> = (0..members).collect();
    for indices in indices.chunks(UPDATES_PER_DATAGRAM) {
        let updates = indices.iter().map(|index| {
            MemberUpdate::Announcement(Announcement {
                member: sample_member(*index),
                sequence: 0,
                service: None,
                state: AnnouncedState::Alive,
                upstream: UpstreamState::Absent,
            })
        });
        let event = MembershipEvent::Received {
            address: address(usize::MAX),
            incarnation: Incarnation(1),
            message: Message::Busy {
                retry_after: Duration::ZERO,
                updates: updates.collect(),
            },
            sender: "filler".parse().expect("a valid name"),
        };
        core.handle(now, event, &mut Vec::new());
    }
}

/// Returns the member at a place of a fleet spread over 14 availability zones in 6 regions.
///
/// # Panics
///
/// Panics if the bench's own names are refused.
#[must_use]
pub fn sample_member(index: usize) -> Member {
    let instance: InstanceId = format!("i-{index:012}").parse().expect("a valid name");
    Member {
        availability_zone: format!("region-{}-zone-{}", index % 6, index % 14)
            .parse()
            .expect("a valid name"),
        call_address: address(index),
        control_address: address(index),
        incarnation: Incarnation(1_700_000_000_000_000),
        instance,
        region: format!("region-{}", index % 6)
            .parse()
            .expect("a valid name"),
    }
}

fn address(index: usize) -> Address {
    let [.., third, fourth] = index.to_be_bytes();
    Address::from(([127, 1, third, fourth], 7_000))
}

/// Returns whether a message belongs to the second core's repair and not to the first one's.
fn belongs_to_second_repair(index: usize, message: &Message) -> bool {
    match message {
        Message::DigestRequest { .. } | Message::StateRequest { .. } => index == 1,
        Message::Gossip { .. } => true,
        _ => index == 0,
    }
}

fn is_repair_message(message: &Message) -> bool {
    matches!(
        message,
        Message::Busy { .. }
            | Message::DigestReply { .. }
            | Message::DigestRequest { .. }
            | Message::Gossip { .. }
            | Message::StateReply { .. }
            | Message::StateRequest { .. }
    )
}
