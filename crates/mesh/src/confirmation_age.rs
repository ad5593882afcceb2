use std::time::Duration;

use crate::{BootTime, PeerConfirmation, StoreEra, StoredConfig};

/// As of when the store said that no configuration is newer than the one in force.
///
/// Ages add up along the way from the store and never restart: an answer counts from when its question was sent, less
/// the age that a peer states. So neither a pause of a daemon nor a slow network makes a confirmation younger than it
/// is.
///
/// When a newer version comes into force, the moment stays: as of then even an older version was the newest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmationAge {
    confirmed_at: Option<BootTime>,
    stored: Option<StoredConfig>,
}

impl ConfirmationAge {
    /// Returns the age of the confirmation; none if there was none since the start.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_since(at))
    }

    /// Returns the latest transaction of the store as of which the version of the configuration is known.
    #[must_use]
    pub const fn stored(&self) -> Option<StoredConfig> {
        self.stored
    }

    /// Forgets up to where the store's changes are known, since the store can't continue from there. The age of the
    /// confirmation isn't affected.
    pub const fn forget_stored(&mut self) {
        self.stored = None;
    }

    /// Records the store's answer to a call that was sent at `sent_at`.
    ///
    /// It confirms nothing if the store holds another version than the one in force: a newer one has to come into
    /// force first, and a lower one means that the store came back from an older copy, in which later versions may be
    /// missing.
    pub fn record_store_answer(
        &mut self,
        sent_at: BootTime,
        held_version: u64,
        answer: StoredConfig,
    ) {
        self.learn_stored(answer);
        if answer.version == held_version {
            self.raise(sent_at);
        }
    }

    /// Records a peer's answer to a question that was sent at `asked_at`.
    ///
    /// It confirms nothing if the peer holds another version, or doesn't know the present era of the store.
    pub fn record_peer_answer(
        &mut self,
        asked_at: BootTime,
        held_version: u64,
        era: StoreEra,
        answer: PeerConfirmation,
    ) {
        if answer.stored.version != held_version || answer.stored.position.era < era {
            return;
        }
        self.learn_stored(answer.stored);
        if let Some(confirmed_at) = asked_at.0.checked_sub(answer.age) {
            self.raise(BootTime(confirmed_at));
        }
    }

    fn raise(&mut self, confirmed_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    fn learn_stored(&mut self, stored: StoredConfig) {
        if self
            .stored
            .is_none_or(|known| known.position <= stored.position)
        {
            self.stored = Some(stored);
        }
    }
}
