//! The attempts to commit one change; see `docs/design/commit.md`.

use medlarspool_config::{ConfigError, EntryKey, Lists, ListsPatch};
use medlarspool_types::{ConfigHead, ConfigVersion};

use crate::{
    Change, ChangeFate, ChangeRecord, CommitError, CommitOutcome, Platform, PlatformError,
    RowCondition, RowWrite,
    history::{self, HEAD_KEY, to_json},
    version_lists::VersionLists,
    version_row::VersionRow,
    withdraw::withdraw,
};

/// The maximum number of attempts to write one object.
const MAX_OBJECT_ATTEMPTS: u32 = 3;
/// The maximum size of the patch in a version's row, in bytes of JSON.
const MAX_PATCH_BYTES: usize = 16 * 1024;
/// The number of unanswered transactions of one change after which its outcome is reported as unknown.
const MAX_LOST_ANSWERS: u32 = 3;

/// Commits one change; its state is kept across attempts.
pub(crate) struct Committer<'change> {
    change: &'change Change,
    /// The version that was read last, kept because head is often the change's base version.
    last_read: Option<VersionLists>,
    lost_answers: u32,
    platform: &'change dyn Platform,
    /// The last transaction without an answer, while it may still take effect.
    pending: Option<PendingTransaction>,
}

/// A transaction of the change whose outcome is not known and that may still take effect.
struct PendingTransaction {
    /// The condition on head that it was sent with; `None` if an earlier run sent it.
    condition: Option<RowCondition>,
    reason: PlatformError,
}

/// Head as read, and the write condition that it has not changed since.
struct HeadRow {
    condition: RowCondition,
    head: ConfigHead,
}

impl<'change> Committer<'change> {
    pub(crate) fn new(platform: &'change dyn Platform, change: &'change Change) -> Self {
        let pending = change.sent_before.then(|| PendingTransaction {
            condition: None,
            reason: PlatformError::OutcomeUnknown("an earlier run may have sent it".into()),
        });
        Self {
            change,
            last_read: None,
            lost_answers: 0,
            platform,
            pending,
        }
    }

    /// Reads the lists of the change's base version; fails if there is no such version.
    pub(crate) fn read_base(&mut self) -> Result<Lists, CommitError> {
        self.read_lists(self.change.base)
    }

    /// Makes one attempt to commit `patch`, the change's edits of its base version's lists `base`, on top of
    /// the newest version.
    ///
    /// Returns `None` if another attempt is needed. Fails if the change was withdrawn, if its edits conflict
    /// with those of a version since its base, or if the platform fails.
    pub(crate) fn attempt(
        &mut self,
        base: &Lists,
        patch: &ListsPatch,
    ) -> Result<Option<CommitOutcome>, CommitError> {
        let head = self.read_head()?;
        // Head must be read before the change's row: once head has changed, a transaction sent with a
        // condition on the older head has either taken effect or never will, because etags are not
        // reused.
        match history::read_change(self.platform, &self.change.id).map_err(platform_error)? {
            Some(ChangeFate::Accepted(record)) => return Ok(Some(self.mark_accepted(&record))),
            Some(ChangeFate::Withdrawn) => {
                self.pending = None;
                return Err(CommitError::Withdrawn(self.change.id.clone()));
            }
            None => self.clear_pending_if_head_moved(head.condition),
        }
        let version = self.read_version(head.head.version)?;
        let checkpoint = version.as_ref().map(|version| version.row.checkpoint);
        let current = version.map(|version| version.lists).unwrap_or_default();
        self.reject_overlap(base, patch, &current, head.head.version)?;
        let next = match patch.apply(&current) {
            Ok(next) => next,
            Err(error) => return Err(self.explain(error, patch, &current, head.head.version)?),
        };
        if next == current && head.head.version != ConfigVersion::NONE {
            return Ok(Some(CommitOutcome::Unchanged { head: head.head }));
        }
        let patch = ListsPatch::between(&current, &next);
        self.write_version(&head, &next, checkpoint, patch)
    }

    /// Returns the final result of the change.
    ///
    /// If no transaction can still take effect, or if the change was accepted, that is `result`. Otherwise a
    /// platform error leaves the outcome unknown. Any other result is returned only after the change was
    /// withdrawn, since the pending transaction could otherwise be accepted afterwards; if the withdrawal
    /// finds the change accepted, the result is its acceptance.
    pub(crate) fn settle(
        self,
        result: Result<CommitOutcome, CommitError>,
    ) -> Result<CommitOutcome, CommitError> {
        let Some(pending) = &self.pending else {
            return result;
        };
        let unknown = |reason: PlatformError| CommitError::OutcomeUnknown {
            change: self.change.id.clone(),
            reason,
        };
        match &result {
            Ok(CommitOutcome::Accepted { .. }) => return result,
            Err(CommitError::Platform(_) | CommitError::OutcomeUnknown { .. }) => {
                return Err(unknown(pending.reason.clone()));
            }
            _ => {}
        }
        match withdraw(self.platform, &self.change.id) {
            Ok(ChangeFate::Accepted(record)) => Ok(accepted_outcome(&record)),
            Ok(ChangeFate::Withdrawn) => result,
            Err(reason) => Err(unknown(reason)),
        }
    }

    fn mark_accepted(&mut self, record: &ChangeRecord) -> CommitOutcome {
        self.pending = None;
        accepted_outcome(record)
    }

    /// Clears the pending transaction if head has changed since it was sent. The caller has found no row of the
    /// change since, so the transaction has not taken effect and never will. A transaction of an earlier run,
    /// whose condition is not known, stays pending.
    fn clear_pending_if_head_moved(&mut self, condition: RowCondition) {
        let sent = self.pending.as_ref().and_then(|pending| pending.condition);
        if sent.is_some_and(|sent| sent != condition) {
            self.pending = None;
        }
    }

    /// Writes the next version after `head`: the object if the version is a checkpoint, then the transaction.
    /// Returns `None` if a condition did not hold or the answer was lost, so that another attempt is needed.
    fn write_version(
        &mut self,
        head: &HeadRow,
        next: &Lists,
        checkpoint: Option<ConfigHead>,
        patch: ListsPatch,
    ) -> Result<Option<CommitOutcome>, CommitError> {
        let record = ChangeRecord {
            asked_at_ms: self.change.asked_at_ms,
            base: self.change.base,
            change: self.change.id.clone(),
            head: ConfigHead {
                version: head.head.version.next(),
                digest: next.cached_digest(),
            },
            operator: self.change.operator.clone(),
        };
        let row = version_row(record, checkpoint, patch);
        if row.is_checkpoint() {
            let name = history::object_name(row.checkpoint.digest);
            self.put_object(&name, &next.encode())?;
        }
        match self.platform.transact(&transaction(head.condition, &row)) {
            Ok(()) => Ok(Some(self.mark_accepted(&row.record))),
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(reason @ PlatformError::OutcomeUnknown(_)) => {
                self.record_lost_answer(head.condition, reason)
            }
            Err(error) => Err(platform_error(error)),
        }
    }

    /// Writes an object, repeatedly if the answer is lost: an object is named after its content's digest,
    /// so writing it again is idempotent.
    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), CommitError> {
        let mut result = self.platform.put_object(name, content);
        for _ in 1..MAX_OBJECT_ATTEMPTS {
            if !matches!(result, Err(PlatformError::OutcomeUnknown(_))) {
                break;
            }
            result = self.platform.put_object(name, content);
        }
        result.map_err(platform_error)
    }

    /// Records an unanswered transaction. Returns `None` for another attempt, or fails with `reason` after
    /// [`MAX_LOST_ANSWERS`] unanswered transactions.
    ///
    /// If an earlier run may have sent the change, the condition of its transaction is not known. The pending
    /// transaction is then recorded without a condition, so that a change of head does not clear it.
    fn record_lost_answer(
        &mut self,
        condition: RowCondition,
        reason: PlatformError,
    ) -> Result<Option<CommitOutcome>, CommitError> {
        self.lost_answers += 1;
        let sent_before = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.condition.is_none());
        self.pending = Some(PendingTransaction {
            condition: (!sent_before).then_some(condition),
            reason: reason.clone(),
        });
        if self.lost_answers < MAX_LOST_ANSWERS {
            return Ok(None);
        }
        Err(platform_error(reason))
    }

    fn read_head(&self) -> Result<HeadRow, CommitError> {
        let row = self.platform.get_row(HEAD_KEY).map_err(platform_error)?;
        let Some(row) = row else {
            return Ok(HeadRow {
                condition: RowCondition::Absent,
                head: ConfigHead::default(),
            });
        };
        Ok(HeadRow {
            condition: RowCondition::Matches(row.etag),
            head: history::parse_row(&row).map_err(platform_error)?,
        })
    }

    fn read_lists(&mut self, version: ConfigVersion) -> Result<Lists, CommitError> {
        let found = self.read_version(version)?;
        Ok(found.map(|found| found.lists).unwrap_or_default())
    }

    /// Reads a version; returns `None` for version 0, whose lists are empty.
    fn read_version(
        &mut self,
        version: ConfigVersion,
    ) -> Result<Option<VersionLists>, CommitError> {
        if version == ConfigVersion::NONE {
            return Ok(None);
        }
        if let Some(last) = &self.last_read
            && last.row.record.head.version == version
        {
            return Ok(Some(last.clone()));
        }
        let found = history::read_version_lists(self.platform, version).map_err(platform_error)?;
        self.last_read = Some(found.ok_or(CommitError::UnknownVersion(version))?);
        Ok(self.last_read.clone())
    }

    /// Fails if an entry of the patch differs in the lists of `head`, `current`, both from the base version
    /// and from the change: another version has then changed it to another value.
    fn reject_overlap(
        &mut self,
        base: &Lists,
        patch: &ListsPatch,
        current: &Lists,
        head: ConfigVersion,
    ) -> Result<(), CommitError> {
        let wanted = &self.change.lists;
        let overlap = patch
            .keys()
            .find(|key| !current.same_entry(base, key) && !current.same_entry(wanted, key));
        let Some(key) = overlap else {
            return Ok(());
        };
        let winner = self.find_winner(current, head, &key)?;
        Err(CommitError::Conflict {
            base: self.change.base,
            key,
            winner,
        })
    }

    /// Returns the error of a change whose patch can't be applied to the current lists, those of version
    /// `head`.
    ///
    /// It is a semantic conflict if `error` is about two entries of which the patch changes exactly one,
    /// because another version then changed the other; it says that the change is invalid otherwise.
    fn explain(
        &mut self,
        error: ConfigError,
        patch: &ListsPatch,
        current: &Lists,
        head: ConfigVersion,
    ) -> Result<CommitError, CommitError> {
        let Some([one, other]) = conflicting_entries(&error) else {
            return Ok(CommitError::Invalid(error));
        };
        let is_changed = |key: &EntryKey| patch.keys().any(|changed| changed == *key);
        let (key, other) = match (is_changed(&one), is_changed(&other)) {
            (true, false) => (one, other),
            (false, true) => (other, one),
            _ => return Ok(CommitError::Invalid(error)),
        };
        Ok(CommitError::SemanticConflict {
            winner: self.find_winner(current, head, &other)?,
            key,
            other,
            reason: Box::new(error),
        })
    }

    /// Finds the newest version that changed an entry. Uses the patches in the versions' rows; if a patch
    /// is missing or there are too many versions, compares the lists of each version backwards from head.
    fn find_winner(
        &mut self,
        current: &Lists,
        head: ConfigVersion,
        key: &EntryKey,
    ) -> Result<ConfigVersion, CommitError> {
        let found = history::find_newest_change(self.platform, self.change.base, head, key);
        if let Some(version) = found.map_err(platform_error)? {
            return Ok(version);
        }
        let mut version = head;
        while version.0 > self.change.base.0 + 1 {
            let before = ConfigVersion(version.0 - 1);
            if !self.read_lists(before)?.same_entry(current, key) {
                break;
            }
            version = before;
        }
        Ok(version)
    }
}

fn accepted_outcome(record: &ChangeRecord) -> CommitOutcome {
    CommitOutcome::Accepted {
        head: record.head,
        rebased: record.head.version != record.base.next(),
    }
}

fn platform_error(error: PlatformError) -> CommitError {
    CommitError::Platform(error)
}

/// Returns the two entries that an error is about, if it is about two.
fn conflicting_entries(error: &ConfigError) -> Option<[EntryKey; 2]> {
    match error {
        ConfigError::DuplicateCredential { first, second } => Some([
            EntryKey::Customer(first.clone()),
            EntryKey::Customer(second.clone()),
        ]),
        ConfigError::Unknown { key, missing } => Some([key.clone(), missing.clone()]),
        _ => None,
    }
}

/// Builds a version's row. The version is a checkpoint if it has no earlier checkpoint, if its patch is
/// larger than [`MAX_PATCH_BYTES`], or if too many versions have been stored as patches since the last one.
fn version_row(
    record: ChangeRecord,
    checkpoint: Option<ConfigHead>,
    patch: ListsPatch,
) -> VersionRow {
    let patch = Some(patch).filter(|patch| to_json(patch).len() <= MAX_PATCH_BYTES);
    let is_recent = |checkpoint: &ConfigHead| {
        record.head.version.0 - checkpoint.version.0 <= history::MAX_PATCHES_SINCE_CHECKPOINT
    };
    let checkpoint = checkpoint.filter(|checkpoint| patch.is_some() && is_recent(checkpoint));
    VersionRow {
        checkpoint: checkpoint.unwrap_or(record.head),
        patch,
        record,
    }
}

/// Returns the writes of head and of the rows of the change and its version; the last two must be absent, so
/// that neither a change nor a version is written twice.
fn transaction(condition: RowCondition, row: &VersionRow) -> [RowWrite; 3] {
    let record = &row.record;
    [
        RowWrite {
            condition,
            key: HEAD_KEY.into(),
            value: Some(to_json(&record.head)),
        },
        RowWrite {
            condition: RowCondition::Absent,
            key: history::change_key(&record.change),
            value: Some(to_json(&ChangeFate::Accepted(record.clone()))),
        },
        RowWrite {
            condition: RowCondition::Absent,
            key: history::version_key(record.head.version),
            value: Some(to_json(row)),
        },
    ]
}
