use std::time::Instant;

use medlarspool_types::{Address, InstanceId};

use crate::{
    AccusationKind, Announcement, BucketSet, MemberState, MemberUpdate, Membership,
    MembershipAction, Message, datagram_space::DatagramSpace, gossiping::MAX_UPDATE_BYTES,
    merge::as_suspicion, record::Record, repair::jitter,
};

/// The number of other members that a `Busy` reply names.
const MEMBERS_PER_BUSY: usize = 4;

/// From this number of wanted buckets on, each page is requested from a random peer instead of the
/// one that sent the page before.
const MULTI_PEER_BUCKETS: usize = 32;

impl Membership {
    pub(crate) fn advance_repair(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if !self.repair.is_done() && now >= self.repair.next_page {
            self.request_page(now, actions);
        }
        if now >= self.repair.next_digest {
            self.request_digest(now, actions);
        }
    }

    /// If the sender of a ping is not a living member of this daemon's view, compares views with it, unless
    /// the rate limit of pages is reached. Joins through it if this daemon knows no other living member.
    pub(crate) fn handle_unknown_member(
        &mut self,
        address: Address,
        sender: &InstanceId,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.view.state(sender).is_some_and(MemberState::is_living) {
            return;
        }
        if self.view.living_count() == 1 {
            self.repair.join(vec![address], now);
        } else if self.page_tokens.try_take(now) {
            let root = self.view.root();
            self.send(address, Message::DigestRequest { root }, actions);
        }
    }

    /// Delays the next request for a page, and applies the announcements of the members to ask instead.
    pub(crate) fn receive_busy(
        &mut self,
        retry_after: std::time::Duration,
        updates: Vec<MemberUpdate>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.apply_updates(updates, false, now, actions);
        self.repair.next_page = now + jitter(retry_after, &mut self.random);
    }

    /// Records the buckets whose digests differ from the peer's, unless a repair is in progress. A reply
    /// without digests means that the views match.
    pub(crate) fn receive_digest_reply(&mut self, address: Address, theirs: &[u32], now: Instant) {
        let mut wanted = BucketSet::default();
        let ours = self.view.bucket_digests();
        for (bucket, (theirs, ours)) in (0..=u8::MAX).zip(theirs.iter().zip(&ours)) {
            if theirs != ours {
                wanted.insert(bucket);
            }
        }
        if wanted.is_empty() {
            self.repair.record_match(self.settings.digest_interval);
        } else if self.repair.is_done() {
            self.counters.digest_mismatches += 1;
            self.repair.record_mismatch(wanted, address, now);
            self.repair.schedule_digest(now, &mut self.random);
        }
    }

    /// Answers with the digests of all buckets, or with none if the views match. A difference also
    /// schedules an early comparison by this daemon.
    pub(crate) fn receive_digest_request(
        &mut self,
        address: Address,
        root: u64,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let buckets = if root == self.view.root() {
            Vec::new()
        } else {
            self.repair.schedule_digest_soon(now, &mut self.random);
            self.view.bucket_digests()
        };
        self.send(address, Message::DigestReply { buckets }, actions);
    }

    /// Collects the updates of a page until a message completes its buckets, then applies them all.
    ///
    /// Sends the peer the updates of these buckets that are newer in this view. Schedules the request for
    /// the next page, to the same peer if fewer than [`MULTI_PEER_BUCKETS`] buckets are wanted.
    pub(crate) fn receive_state_reply(
        &mut self,
        address: Address,
        completed: &BucketSet,
        updates: Vec<MemberUpdate>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.repair.page.extend(updates);
        if completed.is_empty() {
            return;
        }
        let updates = std::mem::take(&mut self.repair.page);
        let completed = completed.without(&BucketSet::ALL.without(&self.repair.wanted));
        let newer = self.newer_than(&completed, &updates);
        if !newer.is_empty() {
            self.send(address, Message::Gossip { updates: newer }, actions);
        }
        self.apply_updates(updates, false, now, actions);
        let keeps_peer = self.repair.wanted.iter().count() < MULTI_PEER_BUCKETS;
        self.repair.peer = keeps_peer.then_some(address);
        self.repair
            .record_page(&completed, now + self.settings.page_interval);
    }

    /// Applies the requester's announcement and sends it a page. If the rate limit of pages is reached,
    /// refuses and names other members to ask instead.
    pub(crate) fn receive_state_request(
        &mut self,
        address: Address,
        announcement: Announcement,
        wanted: &BucketSet,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.apply_announcement(announcement, true, now, actions);
        if self.page_tokens.try_take(now) {
            self.send_page(address, wanted, actions);
            return;
        }
        self.counters.busy_replies += 1;
        let wait = self.page_tokens.time_to_next(now) + self.settings.probe_interval;
        let retry_after = jitter(wait, &mut self.random);
        let me = &self.me.member.instance;
        let updates = self
            .view
            .draw_living(MEMBERS_PER_BUSY, &[me], &mut self.random)
            .into_iter()
            .map(|record| MemberUpdate::Announcement(record.announcement.clone()))
            .collect();
        self.send(
            address,
            Message::Busy {
                retry_after,
                updates,
            },
            actions,
        );
    }

    /// Sends as many whole buckets as fit one datagram, or a single larger bucket in several
    /// datagrams.
    fn send_page(
        &mut self,
        address: Address,
        wanted: &BucketSet,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.counters.state_pages_given += 1;
        let mut page_buckets = BucketSet::default();
        let mut updates = Vec::new();
        for bucket in wanted.iter() {
            let previous_len = updates.len();
            updates.append(&mut self.bucket_updates(bucket));
            let is_full = DatagramSpace::bytes_of(&updates) > MAX_UPDATE_BYTES;
            if is_full && !page_buckets.is_empty() {
                updates.truncate(previous_len);
                break;
            }
            page_buckets.insert(bucket);
            if is_full {
                break;
            }
        }
        while DatagramSpace::bytes_of(&updates) > MAX_UPDATE_BYTES {
            let rest = updates.split_off(DatagramSpace::count_fitting(&updates, MAX_UPDATE_BYTES));
            let part = Message::StateReply {
                buckets: BucketSet::default(),
                updates,
            };
            self.send(address, part, actions);
            updates = rest;
        }
        let reply = Message::StateReply {
            buckets: page_buckets,
            updates,
        };
        self.send(address, reply, actions);
    }

    /// Returns a bucket's records as updates, dead members as suspicions so that they can refute.
    fn bucket_updates(&self, bucket: u8) -> Vec<MemberUpdate> {
        let accuser = self.accuser();
        let update_of = |record: &Record| {
            let instance = &record.announcement.member.instance;
            if record.accusation_kind == Some(AccusationKind::Dead) {
                return self.view.accusation(instance, accuser).map(as_suspicion);
            }
            Some(MemberUpdate::Announcement(record.announcement.clone()))
        };
        self.view.bucket(bucket).filter_map(update_of).collect()
    }

    /// Returns the updates of the completed buckets that are newer in this view than in the page, and the
    /// announcements that the page lacks, as many as fit one datagram.
    fn newer_than(&self, completed: &BucketSet, page: &[MemberUpdate]) -> Vec<MemberUpdate> {
        let mut newer = Vec::new();
        for update in completed
            .iter()
            .flat_map(|bucket| self.bucket_updates(bucket))
        {
            let is_newer = match page_update(page, update.instance()) {
                Some(theirs) => overrides(&update, theirs),
                None => matches!(update, MemberUpdate::Announcement(_)),
            };
            if is_newer {
                newer.push(update);
            }
        }
        newer.truncate(DatagramSpace::count_fitting(&newer, MAX_UPDATE_BYTES));
        newer
    }

    /// Schedules the next comparison of digests, and begins one with a random member unless a repair is in
    /// progress.
    fn request_digest(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.repair.schedule_digest(now, &mut self.random);
        if !self.repair.is_done() {
            return;
        }
        if let Some(address) = self.draw_peers(1).first() {
            self.counters.digest_requests += 1;
            let root = self.view.root();
            self.send(*address, Message::DigestRequest { root }, actions);
        }
    }

    /// Requests a page from the peer whose view differs, else from a random member, else from a contact.
    fn request_page(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.repair.next_page = now + self.repair.back_off(&mut self.random);
        self.repair.page.clear();
        let drawn = self.draw_peers(1).first().copied();
        let contact = self.random.choice(&self.repair.contacts).copied();
        let Some(address) = self.repair.peer.take().or(drawn).or(contact) else {
            return;
        };
        self.counters.state_pages_requested += 1;
        let request = Message::StateRequest {
            announcement: self.me.clone(),
            buckets: self.repair.wanted,
        };
        self.send(address, request, actions);
    }
}

/// Returns whether an update of this view is newer than a peer's about the same member.
fn overrides(ours: &MemberUpdate, theirs: &MemberUpdate) -> bool {
    match (ours, theirs) {
        (MemberUpdate::Accusation(ours), MemberUpdate::Announcement(theirs)) => {
            ours.incarnation >= theirs.member.incarnation
        }
        (MemberUpdate::Announcement(ours), MemberUpdate::Accusation(theirs)) => {
            ours.member.incarnation > theirs.incarnation
        }
        (MemberUpdate::Announcement(ours), MemberUpdate::Announcement(theirs)) => {
            ours.overrides(theirs)
        }
        (MemberUpdate::Accusation(_), MemberUpdate::Accusation(_)) => false,
    }
}

fn page_update<'page>(
    page: &'page [MemberUpdate],
    instance: &InstanceId,
) -> Option<&'page MemberUpdate> {
    page.iter().find(|update| update.instance() == instance)
}
