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
const DIGEST: SpreadMessage = SpreadMessage::Digest {
    reply_wanted: false,
};

/// What a daemon gives to peers that are behind it, and in which form.
#[derive(Debug)]
pub(crate) struct Giver {
    datagram_update_bytes: usize,
    log: DeltaLog,
    transfers: TransferAdmission,
}

impl Giver {
    pub(crate) fn new(settings: &SpreadSettings) -> Self {
        Self {
            datagram_update_bytes: settings.datagram_update_bytes,
            log: DeltaLog::new(settings.log_max_bytes),
            transfers: TransferAdmission::new(settings.transfers_in_flight_max),
        }
    }

    /// Takes in the updates that led to the version in use, or forgets all if they are unknown.
    pub(crate) fn applied(&mut self, head: ConfigHead, updates: Vec<DeltaUpdate>) {
        if updates.last().is_some_and(|update| update.head == head) {
            for update in updates {
                self.log.push(update);
            }
        } else {
            self.log.clear();
        }
    }

    pub(crate) const fn transfer_ended(&mut self) {
        self.transfers.release();
    }

    /// Grants a transfer or puts the peer off; only a daemon that is ready gives.
    pub(crate) fn transfer(
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
        own: ConfigHead,
        theirs: ConfigHead,
        reply_wanted: bool,
    ) -> Option<SpreadMessage> {
        if theirs == ConfigHead::default() || own.version <= theirs.version {
            return reply_wanted.then_some(DIGEST);
        }
        match self.log.since(theirs) {
            Some(updates) if self.fits(&updates, 1) => Some(SpreadMessage::Offer { updates }),
            _ => Some(DIGEST),
        }
    }

    /// Answers a peer that asked for the updates after `base`.
    pub(crate) fn answer_pull(&self, own: ConfigHead, base: ConfigHead) -> Option<SpreadMessage> {
        if own.version <= base.version {
            return None;
        }
        let updates = self.log.since(base).unwrap_or_default();
        if !self.fits(&updates, MAX_PULL_DATAGRAMS) {
            return Some(SpreadMessage::Referral);
        }
        let updates = self.first_that_fit(&updates);
        if updates.is_empty() {
            return Some(SpreadMessage::Referral);
        }
        Some(SpreadMessage::Offer { updates })
    }

    /// Returns a few offers, or a digest if the updates since `base` are too many.
    pub(crate) fn push(&self, base: ConfigHead) -> Vec<SpreadMessage> {
        let mut rest = self.log.since(base).unwrap_or_default();
        if !self.fits(&rest, MAX_PUSH_DATAGRAMS) {
            return vec![DIGEST];
        }
        let mut messages = Vec::new();
        loop {
            let updates = self.first_that_fit(&rest);
            if updates.is_empty() {
                break;
            }
            rest.drain(..updates.len());
            messages.push(SpreadMessage::Offer { updates });
        }
        if !rest.is_empty() || messages.is_empty() {
            return vec![DIGEST];
        }
        messages
    }

    fn fits(&self, updates: &[DeltaUpdate], datagrams: usize) -> bool {
        let bytes: usize = updates.iter().map(DeltaUpdate::wire_bytes).sum();
        bytes <= self.datagram_update_bytes * datagrams
    }

    fn first_that_fit(&self, updates: &[DeltaUpdate]) -> Vec<DeltaUpdate> {
        let mut room = self.datagram_update_bytes;
        let fits = |update: &&DeltaUpdate| {
            let fits = update.wire_bytes() <= room;
            room = room.saturating_sub(update.wire_bytes());
            fits
        };
        updates.iter().take_while(fits).cloned().collect()
    }
}
