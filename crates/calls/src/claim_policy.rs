use std::time::SystemTime;

use crate::{
    CallSettings, ClaimHolder, ClaimKey, ClaimRow, ClaimStep, ClaimWrite, ClaimWriteOutcome, Fate,
    RefusalReason,
};

/// Leads one try of a keyed request to its claim, or to the fate of the try that holds the key.
///
/// The try may run only after [`ClaimStep::Run`]; on every other end it is fenced first. See
/// `docs/design/calls.md`.
#[derive(Clone, Debug)]
pub struct ClaimPolicy {
    key: ClaimKey,
    own: ClaimRow,
    replaces: Option<u64>,
    tries_left: u32,
}

impl ClaimPolicy {
    /// Makes the policy of a try, whose row would be `own`.
    #[must_use]
    pub fn new(settings: &CallSettings, key: ClaimKey, own: ClaimRow) -> Self {
        Self {
            key,
            own,
            replaces: None,
            tries_left: settings.max_claim_writes,
        }
    }

    /// Begins; a key past its lifetime or from the future is refused.
    pub fn start<A>(&mut self, now: SystemTime, settings: &CallSettings) -> ClaimStep<A> {
        let made = self.key.issued_at();
        let expired = made + settings.claim_lifetime <= now;
        if expired || made > now + settings.clock_skew_limit {
            return ClaimStep::Refuse(RefusalReason::KeyExpired);
        }
        self.write()
    }

    /// Takes in how the write ended.
    pub fn on_write<A>(&mut self, commit: ClaimWriteOutcome) -> ClaimStep<A> {
        match commit {
            ClaimWriteOutcome::Conflict | ClaimWriteOutcome::Unknown => ClaimStep::Read,
            ClaimWriteOutcome::Down => ClaimStep::Refuse(RefusalReason::StoreDown),
            ClaimWriteOutcome::Written => ClaimStep::Run,
        }
    }

    /// Takes in the key's row, or that there is none.
    ///
    /// An absent row does not settle a write of unknown outcome, which may still take effect; but
    /// whoever then finds it is told by this gate that the try did not run.
    pub fn on_read<A>(&mut self, holder: Option<ClaimHolder>) -> ClaimStep<A> {
        let Some(holder) = holder else {
            self.replaces = None;
            return self.write();
        };
        if holder.row.attempt == self.own.attempt {
            return ClaimStep::Run;
        }
        if holder.row.fingerprint != self.own.fingerprint {
            return ClaimStep::Refuse(RefusalReason::KeyConflict);
        }
        self.replaces = Some(holder.etag);
        ClaimStep::AskHolder(holder.row)
    }

    /// Takes in that the row could not be read.
    #[must_use]
    pub const fn on_read_failed<A>(&self) -> ClaimStep<A> {
        ClaimStep::Refuse(RefusalReason::StoreDown)
    }

    /// Takes in the fate of the try that holds the key; a gate that can't be reached counts as
    /// [`Fate::MayHaveRun`].
    pub fn on_fate<A>(&mut self, holder: ClaimRow, fate: Fate<A>) -> ClaimStep<A> {
        match fate {
            Fate::NotRun => self.write(),
            Fate::Underway => ClaimStep::Wait(holder),
            Fate::NeverSeen => ClaimStep::Earlier(Fate::MayHaveRun),
            Fate::AnswerGone | Fate::MayHaveRun | Fate::Ran(_) => ClaimStep::Earlier(fate),
        }
    }

    /// Returns the write that gives the key back after this try was refused, given the row as read.
    ///
    /// It is only a courtesy to the key's next use: if it is lost, this gate's fate table still
    /// tells that the try did not run.
    #[must_use]
    pub fn release(&self, holder: &ClaimHolder) -> Option<ClaimWrite> {
        let is_own = holder.row.attempt == self.own.attempt;
        is_own.then(|| ClaimWrite {
            attempt: self.own.attempt,
            etag: Some(holder.etag),
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
        if self.tries_left == 0 {
            return ClaimStep::Refuse(RefusalReason::StoreDown);
        }
        self.tries_left -= 1;
        ClaimStep::Write(ClaimWrite {
            attempt: self.own.attempt,
            etag: self.replaces,
            key: self.key.row_key(),
            value: Some(self.own.to_string()),
        })
    }
}
