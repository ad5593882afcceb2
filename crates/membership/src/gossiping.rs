use std::time::{Duration, Instant};

use medlarspool_types::Address;

use crate::{
    MemberUpdate, Membership, MembershipAction, Message, datagram_space::DatagramSpace,
    update_key::UpdateKey,
};

/// The maximum bytes of updates in a datagram: its limit of 1,200 less 180 for the envelope and the
/// rest of the message.
pub(crate) const MAX_UPDATE_BYTES: usize = 1_020;

/// The maximum bytes of updates in a gossip datagram without urgent updates. The lower limit spreads
/// a burst of changes over more gossip intervals.
const ORDINARY_UPDATE_BYTES: usize = 500;

/// The maximum bytes of updates piggybacked on a ping or an ack.
const PIGGYBACK_BYTES: usize = 400;

/// The bytes of a datagram without its updates, including IP and UDP headers, that are counted
/// against the byte budget.
const ENVELOPE_BYTES: usize = 128;

/// How long an urgent update waits for others that can share its datagram.
const URGENT_DELAY: Duration = Duration::from_millis(20);

/// The share of the byte budget's burst that must remain for ordinary updates to be sent; below it only
/// urgent ones are.
const URGENT_SHARE: f64 = 0.75;

impl Membership {
    pub(crate) fn advance_gossip(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if !self.gossip.is_empty() && now >= self.next_gossip {
            self.push_gossip(now, actions);
        }
    }

    /// Returns the updates to piggyback on one ping or ack, and counts their bytes against the byte budget.
    pub(crate) fn piggyback(&mut self, now: Instant) -> Vec<MemberUpdate> {
        let updates = self.take_updates(PIGGYBACK_BYTES, 1, now);
        self.spend(&updates, 0, 1, now);
        updates
    }

    /// Pushes the same updates to up to `gossip_fanout` random members, as far as the byte budget allows.
    pub(crate) fn push_gossip(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.next_gossip = now + self.settings.gossip_interval;
        let peers = self.draw_peers(self.settings.gossip_fanout);
        let copies = u32::try_from(peers.len()).unwrap_or(u32::MAX);
        if copies == 0 {
            return;
        }
        let max_bytes = if self.gossip.has_urgent() {
            MAX_UPDATE_BYTES
        } else {
            ORDINARY_UPDATE_BYTES
        };
        let updates = self.take_updates(max_bytes, copies, now);
        if updates.is_empty() {
            return;
        }
        self.spend(&updates, ENVELOPE_BYTES, copies, now);
        for address in peers {
            let updates = updates.clone();
            self.send(address, Message::Gossip { updates }, actions);
        }
    }

    /// Queues an update for gossip; an urgent one is due within [`URGENT_DELAY`].
    pub(crate) fn enqueue_gossip(&mut self, key: UpdateKey, urgent: bool, now: Instant) {
        if self.gossip.is_empty() {
            let wait = self.settings.gossip_interval.mul_f64(self.random.f64());
            self.next_gossip = self.next_gossip.max(now + wait);
        }
        if urgent {
            self.next_gossip = self.next_gossip.min(now + URGENT_DELAY);
        }
        self.gossip.push(key, urgent);
    }

    /// Returns the addresses of up to `count` random living members other than this one.
    pub(crate) fn draw_peers(&mut self, count: usize) -> Vec<Address> {
        let me = &self.me.member.instance;
        self.view
            .draw_living(count, &[me], &mut self.random)
            .into_iter()
            .map(|record| record.announcement.member.control_address)
            .collect()
    }

    /// Counts the bytes of `copies` datagrams with these updates against the byte budget.
    fn spend(
        &mut self,
        updates: &[MemberUpdate],
        envelope_bytes: usize,
        copies: u32,
        now: Instant,
    ) {
        let bytes = envelope_bytes + DatagramSpace::bytes_of(updates);
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.gossip_tokens.spend(now, bytes * copies);
    }

    /// Returns the queued updates that fit into `max_bytes` and that the byte budget allows, and counts
    /// each as sent `copies` times.
    fn take_updates(&mut self, max_bytes: usize, copies: u32, now: Instant) -> Vec<MemberUpdate> {
        let remaining_share = self.gossip_tokens.remaining_share(now);
        if remaining_share <= 0.0 || self.gossip.is_empty() {
            return Vec::new();
        }
        let urgent_only = remaining_share < URGENT_SHARE;
        let own_accuser = self.accuser();
        let view = &self.view;
        let suspicions = &self.suspicions;
        self.gossip.take(
            max_bytes,
            copies,
            urgent_only,
            view.living_count(),
            |key| match key {
                UpdateKey::Accusation(instance) => {
                    let accuser = suspicions
                        .get(instance)
                        .map_or(own_accuser, crate::suspicion::Suspicion::accuser);
                    view.accusation(instance, accuser)
                }
                UpdateKey::Announcement(instance) => view.announcement(instance),
            },
        )
    }
}
