use std::time::SystemTime;

use crate::{
    CallSettings, ClaimKey, ClaimRow, ClaimStep, ClaimWrite, ClaimWriteOutcome, Fate,
    RefusalReason, StoredClaimRow,
};

/// Decides the steps by which one attempt of a keyed request either claims the key or learns the fate
/// of the attempt that holds it.
///
/// The attempt may run only after [`ClaimStep::Run`]. On every other outcome it must be fenced before
/// its caller is answered. See `docs/design/calls.md`.
#[derive(Clone, Debug)]
pub struct ClaimPolicy {
    key: ClaimKey,
    own_row: ClaimRow,
    remaining_writes: u32,
    row_etag: Option<u64>,
}

impl ClaimPolicy {
    /// Makes the policy of one attempt; `own_row` is the row that it writes to claim the key.
    #[must_use]
    pub fn new(settings: &CallSettings, key: ClaimKey, own_row: ClaimRow) -> Self {
        Self {
            key,
            own_row,
            remaining_writes: settings.max_claim_writes,
            row_etag: None,
        }
    }

    /// Returns the first step. A key past its lifetime, or from further in the future than clocks may
    /// differ, is refused.
    pub fn start<A>(&mut self, now: SystemTime, settings: &CallSettings) -> ClaimStep<A> {
        let issued_at = self.key.issued_at();
        let expired = issued_at + settings.claim_lifetime <= now;
        if expired || issued_at > now + settings.clock_skew_limit {
            return ClaimStep::Refuse(RefusalReason::KeyExpired);
        }
        self.write()
    }

    /// Returns the next step after a write ended.
    pub fn on_write<A>(&mut self, outcome: ClaimWriteOutcome) -> ClaimStep<A> {
        match outcome {
            ClaimWriteOutcome::Conflict | ClaimWriteOutcome::Unknown => ClaimStep::Read,
            ClaimWriteOutcome::Down => ClaimStep::Refuse(RefusalReason::StoreDown),
            ClaimWriteOutcome::Written => ClaimStep::Run,
        }
    }

    /// Returns the next step after the key's row was read; `None` means that there is no row.
    ///
    /// An absent row does not prove that a write of unknown outcome failed: it may still take effect
    /// after this attempt was refused. That does no harm, because an attempt that then finds the row
    /// asks this gate, which replies that this attempt did not run.
    pub fn on_read<A>(&mut self, stored: Option<StoredClaimRow>) -> ClaimStep<A> {
        let Some(stored) = stored else {
            self.row_etag = None;
            return self.write();
        };
        if stored.row.attempt == self.own_row.attempt {
            return ClaimStep::Run;
        }
        if stored.row.fingerprint != self.own_row.fingerprint {
            return ClaimStep::Refuse(RefusalReason::KeyConflict);
        }
        self.row_etag = Some(stored.etag);
        ClaimStep::AskHolder(stored.row)
    }

    /// Returns the next step after the row could not be read.
    #[must_use]
    pub const fn on_read_failed<A>(&self) -> ClaimStep<A> {
        ClaimStep::Refuse(RefusalReason::StoreDown)
    }

    /// Returns the next step for the fate of the attempt that holds the key. Pass
    /// [`Fate::MayHaveRun`] if its gate can't be reached.
    pub fn on_fate<A>(&mut self, holder: ClaimRow, fate: Fate<A>) -> ClaimStep<A> {
        match fate {
            Fate::NotRun => self.write(),
            Fate::Underway => ClaimStep::Wait(holder),
            Fate::NeverSeen => ClaimStep::Earlier(Fate::MayHaveRun),
            Fate::AnswerGone | Fate::MayHaveRun | Fate::Ran(_) => ClaimStep::Earlier(fate),
        }
    }

    /// Returns the write that deletes this attempt's row after the attempt was refused, or `None` if
    /// the row as read belongs to another attempt.
    ///
    /// The write only spares the key's next attempt a question to this gate: if it is lost, this
    /// gate's fate table still shows that the attempt did not run.
    #[must_use]
    pub fn release(&self, stored: &StoredClaimRow) -> Option<ClaimWrite> {
        let is_own = stored.row.attempt == self.own_row.attempt;
        is_own.then(|| ClaimWrite {
            attempt: self.own_row.attempt,
            etag: Some(stored.etag),
            key: self.key.row_key(),
            value: None,
        })
    }

    /// Returns the key.
    #[must_use]
    pub const fn key(&self) -> &ClaimKey {
        &self.key
    }

    fn write<A>(&mut self) -> ClaimStep<A> {
        if self.remaining_writes == 0 {
            return ClaimStep::Refuse(RefusalReason::StoreDown);
        }
        self.remaining_writes -= 1;
        ClaimStep::Write(ClaimWrite {
            attempt: self.own_row.attempt,
            etag: self.row_etag,
            key: self.key.row_key(),
            value: Some(self.own_row.to_string()),
        })
    }
}
