use medlarspool_types::ConfigHead;

use crate::{
    DeltaLog, DeltaUpdate, SpreadAction, SpreadMessage, SpreadSettings,
    transfer_admission::TransferAdmission,
};

/// The most datagrams that answer one pull before a transfer is the better way.
const MAX_PULL_DATAGRAMS: usize = 8;
/// The most datagrams of one push to one peer; beyond them peers pull.
const MAX_PUSH_DATAGRAMS: usize = 4;
/// Shows the head on the envelope without asking for the receiver's.
const DIGEST_WITHOUT_REPLY: SpreadMessage = SpreadMessage::Digest {
    reply_wanted: false,
};

/// What a daemon gives to peers that are behind it, and in which form.
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
            log: DeltaLog::new(settings.log_max_bytes),
            transfers: TransferAdmission::new(settings.transfers_in_flight_max),
        }
    }

    /// Takes in the updates that led to the version in use, or forgets all if they are unknown.
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

    /// Grants a transfer or puts the peer off; only a daemon that is ready gives.
    pub(crate) fn answer_transfer(
        &mut self,
        ready: bool,
        base: Option<ConfigHead>,
        ticket: u64,
    ) -> SpreadAction {
        if ready && self.transfers.admit() {
            SpreadAction::TransferGranted {
                ticket,
                updates: base.and_then(|base| self.log.since(base)),
            }
        } else {
            SpreadAction::TransferBusy {
                retry_after: TransferAdmission::RETRY_AFTER,
                ticket,
            }
        }
    }

    /// Answers a peer that showed its head.
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

    /// Answers a peer that asked for the updates after `base`.
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

    /// Returns a few offers, or a digest if the updates since `base` are too many.
    pub(crate) fn push(&self, base: ConfigHead) -> Vec<SpreadMessage> {
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

    fn fits(&self, updates: &[DeltaUpdate], datagrams: usize) -> bool {
        let bytes: usize = updates.iter().map(DeltaUpdate::wire_bytes).sum();
        bytes <= self.datagram_update_bytes * datagrams
    }

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
