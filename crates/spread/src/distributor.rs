use medlarspool_types::ConfigHead;

use crate::{
    DeltaLog, DeltaUpdate, SpreadAction, SpreadMessage, SpreadSettings,
    transfer_admission::TransferAdmission,
};

/// The most datagrams that the updates after a pull's base may take; for more the peer is referred to a
/// transfer. The answer to a pull is the first of these datagrams; the peer pulls again for the next.
const MAX_PULL_DATAGRAMS: usize = 8;
/// The most datagrams pushed to a peer at a time; if more are needed, the peer is sent a digest instead and
/// pulls the updates.
const MAX_PUSH_DATAGRAMS: usize = 4;
/// Announces the head on the envelope and asks for no reply.
const DIGEST_WITHOUT_REPLY: SpreadMessage = SpreadMessage::Digest {
    reply_wanted: false,
};

/// Chooses the form in which a peer that is behind gets a change: offers, a digest, a referral or a
/// transfer.
#[derive(Debug)]
pub(crate) struct Distributor {
    datagram_update_bytes: usize,
    log: DeltaLog,
    transfers: TransferAdmission,
}

impl Distributor {
    pub(crate) fn new(settings: &SpreadSettings) -> Self {
        Self {
            datagram_update_bytes: settings.datagram_update_bytes,
            log: DeltaLog::new(settings.max_log_bytes),
            transfers: TransferAdmission::new(settings.max_transfers_in_flight),
        }
    }

    /// Logs the updates that led to the version in use, or clears the log if they are unknown.
    pub(crate) fn on_applied(&mut self, head: ConfigHead, updates: Vec<DeltaUpdate>) {
        if updates.last().is_some_and(|update| update.head == head) {
            for update in updates {
                self.log.push(update);
            }
        } else {
            self.log.clear();
        }
    }

    pub(crate) const fn on_transfer_ended(&mut self) {
        self.transfers.release();
    }

    /// Grants or refuses a transfer; a daemon that isn't ready refuses all.
    pub(crate) fn answer_transfer(
        &mut self,
        ready: bool,
        base: Option<ConfigHead>,
        request_id: u64,
    ) -> SpreadAction {
        if ready && self.transfers.admit() {
            SpreadAction::TransferGranted {
                request_id,
                updates: base.and_then(|base| self.log.since(base)),
            }
        } else {
            SpreadAction::TransferBusy {
                request_id,
                retry_after: TransferAdmission::RETRY_AFTER,
            }
        }
    }

    /// Returns the answer to a digest from a peer that announced `peer_head`.
    ///
    /// A peer that is behind gets an offer if its missing updates fit into a datagram, and a digest if not.
    pub(crate) fn answer_digest(
        &self,
        own_head: ConfigHead,
        peer_head: ConfigHead,
        reply_wanted: bool,
    ) -> Option<SpreadMessage> {
        if peer_head == ConfigHead::default() || own_head.version <= peer_head.version {
            return reply_wanted.then_some(DIGEST_WITHOUT_REPLY);
        }
        match self.log.since(peer_head) {
            Some(updates) if self.fits(&updates, 1) => Some(SpreadMessage::Offer { updates }),
            _ => Some(DIGEST_WITHOUT_REPLY),
        }
    }

    /// Returns the answer to a pull of the updates after `base`, or `None` if there is no newer version.
    ///
    /// An offer holds the first updates that fit into a datagram; the peer pulls again for the rest.
    pub(crate) fn answer_pull(
        &self,
        own_head: ConfigHead,
        base: ConfigHead,
    ) -> Option<SpreadMessage> {
        if own_head.version <= base.version {
            return None;
        }
        let updates = self.log.since(base).unwrap_or_default();
        if !self.fits(&updates, MAX_PULL_DATAGRAMS) {
            return Some(SpreadMessage::Referral);
        }
        let updates = self.fitting_prefix(&updates);
        if updates.is_empty() {
            return Some(SpreadMessage::Referral);
        }
        Some(SpreadMessage::Offer { updates })
    }

    /// Returns the messages of a push: a few offers, or one digest if the updates since `base` are too
    /// large or no longer logged.
    pub(crate) fn push_messages(&self, base: ConfigHead) -> Vec<SpreadMessage> {
        let mut remaining = self.log.since(base).unwrap_or_default();
        if !self.fits(&remaining, MAX_PUSH_DATAGRAMS) {
            return vec![DIGEST_WITHOUT_REPLY];
        }
        let mut messages = Vec::new();
        loop {
            let updates = self.fitting_prefix(&remaining);
            if updates.is_empty() {
                break;
            }
            remaining.drain(..updates.len());
            messages.push(SpreadMessage::Offer { updates });
        }
        if !remaining.is_empty() || messages.is_empty() {
            return vec![DIGEST_WITHOUT_REPLY];
        }
        messages
    }

    /// Returns whether all updates together take no more bytes than `max_datagrams` datagrams hold.
    fn fits(&self, updates: &[DeltaUpdate], max_datagrams: usize) -> bool {
        let total_bytes: usize = updates.iter().map(DeltaUpdate::wire_bytes).sum();
        total_bytes <= self.datagram_update_bytes * max_datagrams
    }

    /// Returns the first updates that fit into one datagram together.
    fn fitting_prefix(&self, updates: &[DeltaUpdate]) -> Vec<DeltaUpdate> {
        let mut remaining_bytes = self.datagram_update_bytes;
        let fits = |update: &&DeltaUpdate| {
            let fits = update.wire_bytes() <= remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(update.wire_bytes());
            fits
        };
        updates.iter().take_while(fits).cloned().collect()
    }
}
