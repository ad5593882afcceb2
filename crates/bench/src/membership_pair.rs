use std::time::{Duration, Instant};

use medlarspool_membership::{
    AnnouncedState, Announcement, Member, MemberUpdate, Membership, MembershipAction,
    MembershipEvent, MembershipSettings, Message, UpstreamState,
};
use medlarspool_proto::{Datagram, FleetKey, MembershipPayload};
use medlarspool_types::{Address, ConfigHead, Incarnation, InstanceId};

/// The step by which the pair's simulated clock advances.
const STEP: Duration = Duration::from_millis(10);

/// The number of updates in one datagram, both when views are filled and when the bytes of a whole view are
/// counted.
const UPDATES_PER_DATAGRAM: usize = 10;

/// Two cores whose views differ, connected without loss, to count the bytes and messages until they agree.
///
/// A message to any address is delivered to the other core, which represents all members.
pub struct MembershipPair {
    /// The bytes that both cores sent for the repair of the second core's view, including headers.
    pub repair_bytes: usize,
    /// The datagrams that both cores sent for the repair of the second core's view.
    pub repair_messages: usize,
    /// The simulated time since the start.
    pub elapsed: Duration,
    cores: [Membership; 2],
    key: FleetKey,
    start: Instant,
}

impl MembershipPair {
    /// Creates two cores, of which the first knows `first` members and the second `second` of these.
    ///
    /// # Panics
    ///
    /// Panics if the bench's own names are refused.
    #[must_use]
    pub fn new(first: usize, second: usize, settings: &MembershipSettings) -> Self {
        let start = Instant::now();
        let core = |index: usize, known_count: usize| {
            let seed = u64::try_from(index).unwrap_or_default();
            let own_member = sample_member(index);
            let mut core = Membership::new(settings.clone(), own_member, seed, start);
            add_members(&mut core, known_count, start);
            core
        };
        Self {
            repair_bytes: 0,
            cores: [core(0, first), core(1, second)],
            elapsed: Duration::ZERO,
            key: FleetKey::derive("membership bench key").expect("the key is long enough"),
            repair_messages: 0,
            start,
        }
    }

    /// Announces the first core to the second, so that the second requests the first one's state.
    pub fn introduce(&mut self) {
        let updates = vec![MemberUpdate::Announcement(
            self.cores[0].own_announcement().clone(),
        )];
        self.deliver(0, 1, Message::Gossip { updates });
    }

    /// Adds the members with the indices below `members` to the first core's view and resets the counts.
    pub fn diverge(&mut self, member_count: usize) {
        let now = self.now();
        add_members(&mut self.cores[0], member_count, now);
        self.repair_bytes = 0;
        self.repair_messages = 0;
    }

    /// Runs both cores until their views agree; returns whether they do within `max_wait` of simulated time since
    /// the start.
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

    /// Returns the bytes of the datagrams that hold the first core's whole view, including headers.
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
                    self.repair_bytes += self.datagram_bytes(index, &message);
                    self.repair_messages += 1;
                }
                self.deliver(index, 1 - index, message);
            }
        }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }
}

/// Adds the members with the indices below `members` to a core's view.
///
/// # Panics
///
/// Panics if the bench's own names are refused.
pub fn add_members(core: &mut Membership, member_count: usize, now: Instant) {
    let indices: Vec<usize> = (0..member_count).collect();
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

/// Returns the member with an index in a fleet that is spread over 14 availability zones in 6 regions.
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

/// Returns whether a message from the core with this index belongs to the repair of the second core's view:
/// its requests, and the first core's answers.
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
