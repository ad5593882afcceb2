//! The tries of one change; see `docs/design/commit.md`.

use medlarspool_config::{ConfigError, EntryKey, Lists, ListsPatch};
use medlarspool_types::{ConfigHead, ConfigVersion};

use crate::{
    Change, ChangeFate, ChangeRecord, CommitError, CommitOutcome, Platform, PlatformError,
    RowCondition, RowWrite,
    history::{self, HEAD_KEY, json},
    version_lists::VersionLists,
    version_row::VersionRow,
    withdraw::withdraw,
};

/// The most tries to write one object.
const MAX_OBJECT_TRIES: u32 = 3;
/// The largest patch that a version's row holds, in bytes of JSON.
const MAX_PATCH_BYTES: usize = 16 * 1024;
/// The most transactions of one change that may get no answer before the outcome is called unknown.
const MAX_LOST_ANSWERS: u32 = 3;

/// One change on its way.
pub(crate) struct Attempt<'change> {
    change: &'change Change,
    /// The version that was read last, since head is often the base.
    last_read: Option<VersionLists>,
    lost_answers: u32,
    platform: &'change dyn Platform,
    unsettled: Option<Unsettled>,
}

/// A transaction of the change that may yet take effect.
struct Unsettled {
    /// The condition on head that it was sent with; `None` if an earlier run sent it.
    condition: Option<RowCondition>,
    reason: PlatformError,
}

/// Head as read, and the condition that it still stands.
struct Head {
    condition: RowCondition,
    head: ConfigHead,
}

impl<'change> Attempt<'change> {
    pub(crate) fn new(platform: &'change dyn Platform, change: &'change Change) -> Self {
        let unsettled = change.sent_before.then(|| Unsettled {
            condition: None,
            reason: PlatformError::OutcomeUnknown("an earlier run may have sent it".into()),
        });
        Self {
            change,
            last_read: None,
            lost_answers: 0,
            platform,
            unsettled,
        }
    }

    /// Reads the lists that the operator started from.
    pub(crate) fn base(&mut self) -> Result<Lists, CommitError> {
        self.lists_of(self.change.base)
    }

    /// Tries once; `None` asks for another try.
    pub(crate) fn once(
        &mut self,
        base: &Lists,
        patch: &ListsPatch,
    ) -> Result<Option<CommitOutcome>, CommitError> {
        let head = self.head()?;
        // Head was read first: a transaction sent on an older head has taken effect by now or never
        // will, because etags don't come back.
        match history::read_change(self.platform, &self.change.id).map_err(failed)? {
            Some(ChangeFate::Accepted(record)) => return Ok(Some(self.accepted(&record))),
            Some(ChangeFate::Withdrawn) => {
                self.unsettled = None;
                return Err(CommitError::Withdrawn(self.change.id.clone()));
            }
            None => self.forget_overtaken(head.condition),
        }
        let version = self.version(head.head.version)?;
        let checkpoint = version.as_ref().map(|version| version.row.checkpoint);
        let current = version.map(|version| version.lists).unwrap_or_default();
        self.refuse_overlap(base, patch, &current, head.head.version)?;
        let next = match patch.apply(&current) {
            Ok(next) => next,
            Err(error) => return Err(self.invalid(error, patch, &current, head.head.version)?),
        };
        if next == current && head.head.version != ConfigVersion::NONE {
            return Ok(Some(CommitOutcome::Unchanged { head: head.head }));
        }
        let patch = ListsPatch::between(&current, &next);
        self.write(&head, &next, checkpoint, patch)
    }

    /// Returns a final result: a transaction that may yet take effect is withdrawn first.
    pub(crate) fn settle(
        self,
        result: Result<CommitOutcome, CommitError>,
    ) -> Result<CommitOutcome, CommitError> {
        let Some(unsettled) = &self.unsettled else {
            return result;
        };
        let unknown = |reason: PlatformError| CommitError::OutcomeUnknown {
            change: self.change.id.clone(),
            reason,
        };
        match &result {
            Ok(CommitOutcome::Accepted { .. }) => return result,
            Err(CommitError::Platform(_) | CommitError::OutcomeUnknown { .. }) => {
                return Err(unknown(unsettled.reason.clone()));
            }
            _ => {}
        }
        match withdraw(self.platform, &self.change.id) {
            Ok(ChangeFate::Accepted(record)) => Ok(accepted(&record)),
            Ok(ChangeFate::Withdrawn) => result,
            Err(reason) => Err(unknown(reason)),
        }
    }

    fn accepted(&mut self, record: &ChangeRecord) -> CommitOutcome {
        self.unsettled = None;
        accepted(record)
    }

    fn forget_overtaken(&mut self, condition: RowCondition) {
        let sent = self.unsettled.as_ref().and_then(|lost| lost.condition);
        if sent.is_some_and(|sent| sent != condition) {
            self.unsettled = None;
        }
    }

    fn write(
        &mut self,
        head: &Head,
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
            self.store(&name, &next.encode())?;
        }
        match self.platform.transact(&transaction(head.condition, &row)) {
            Ok(()) => Ok(Some(self.accepted(&row.record))),
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(reason @ PlatformError::OutcomeUnknown(_)) => self.lost(head.condition, reason),
            Err(error) => Err(failed(error)),
        }
    }

    /// Writes the object, again if its answer was lost: the same content under the name of its own
    /// digest does no harm.
    fn store(&self, name: &str, content: &[u8]) -> Result<(), CommitError> {
        let mut stored = self.platform.put_object(name, content);
        for _ in 1..MAX_OBJECT_TRIES {
            if !matches!(stored, Err(PlatformError::OutcomeUnknown(_))) {
                break;
            }
            stored = self.platform.put_object(name, content);
        }
        stored.map_err(failed)
    }

    fn lost(
        &mut self,
        condition: RowCondition,
        reason: PlatformError,
    ) -> Result<Option<CommitOutcome>, CommitError> {
        self.lost_answers += 1;
        let sent_before = self
            .unsettled
            .as_ref()
            .is_some_and(|u| u.condition.is_none());
        self.unsettled = Some(Unsettled {
            condition: (!sent_before).then_some(condition),
            reason: reason.clone(),
        });
        if self.lost_answers < MAX_LOST_ANSWERS {
            return Ok(None);
        }
        Err(failed(reason))
    }

    fn head(&self) -> Result<Head, CommitError> {
        let row = self.platform.get_row(HEAD_KEY).map_err(failed)?;
        let Some(row) = row else {
            return Ok(Head {
                condition: RowCondition::Absent,
                head: ConfigHead::default(),
            });
        };
        Ok(Head {
            condition: RowCondition::Matches(row.etag),
            head: history::parse(&row).map_err(failed)?,
        })
    }

    fn lists_of(&mut self, version: ConfigVersion) -> Result<Lists, CommitError> {
        let found = self.version(version)?;
        Ok(found.map(|found| found.lists).unwrap_or_default())
    }

    /// Reads a version; `None` stands for the empty lists before the first.
    fn version(&mut self, version: ConfigVersion) -> Result<Option<VersionLists>, CommitError> {
        if version == ConfigVersion::NONE {
            return Ok(None);
        }
        if let Some(last) = &self.last_read
            && last.row.record.head.version == version
        {
            return Ok(Some(last.clone()));
        }
        let found = history::read_version_lists(self.platform, version).map_err(failed)?;
        self.last_read = Some(found.ok_or(CommitError::UnknownVersion(version))?);
        Ok(self.last_read.clone())
    }

    /// Refuses if an entry of the patch was changed by others since its base, to something else.
    fn refuse_overlap(
        &mut self,
        base: &Lists,
        patch: &ListsPatch,
        current: &Lists,
        version: ConfigVersion,
    ) -> Result<(), CommitError> {
        let wanted = &self.change.lists;
        let lost = patch
            .keys()
            .find(|key| !current.same_entry(base, key) && !current.same_entry(wanted, key));
        let Some(key) = lost else {
            return Ok(());
        };
        let winner = self.winner(current, version, &key)?;
        Err(CommitError::Conflict {
            base: self.change.base,
            key,
            winner,
        })
    }

    /// Names what a change lost to if it was sound on its own base but not on head.
    fn invalid(
        &mut self,
        error: ConfigError,
        patch: &ListsPatch,
        current: &Lists,
        version: ConfigVersion,
    ) -> Result<CommitError, CommitError> {
        let Some([one, other]) = parties(&error) else {
            return Ok(CommitError::Invalid(error));
        };
        let own = |key: &EntryKey| patch.keys().any(|changed| changed == *key);
        let (key, other) = match (own(&one), own(&other)) {
            (true, false) => (one, other),
            (false, true) => (other, one),
            _ => return Ok(CommitError::Invalid(error)),
        };
        Ok(CommitError::SemanticConflict {
            winner: self.winner(current, version, &other)?,
            key,
            other,
            reason: Box::new(error),
        })
    }

    /// Finds the newest version that changed an entry: by the versions' rows, or by walking back from
    /// head through the lists.
    fn winner(
        &mut self,
        current: &Lists,
        head: ConfigVersion,
        key: &EntryKey,
    ) -> Result<ConfigVersion, CommitError> {
        let found = history::newest_change(self.platform, self.change.base, head, key);
        if let Some(version) = found.map_err(failed)? {
            return Ok(version);
        }
        let mut version = head;
        while version.0 > self.change.base.0 + 1 {
            let before = ConfigVersion(version.0 - 1);
            if !self.lists_of(before)?.same_entry(current, key) {
                break;
            }
            version = before;
        }
        Ok(version)
    }
}

fn accepted(record: &ChangeRecord) -> CommitOutcome {
    CommitOutcome::Accepted {
        head: record.head,
        rebased: record.head.version != record.base.next(),
    }
}

fn failed(error: PlatformError) -> CommitError {
    CommitError::Platform(error)
}

/// Returns the two entries that an error is about.
fn parties(error: &ConfigError) -> Option<[EntryKey; 2]> {
    match error {
        ConfigError::DuplicateCredential { first, second } => Some([
            EntryKey::Customer(first.clone()),
            EntryKey::Customer(second.clone()),
        ]),
        ConfigError::Unknown { key, missing } => Some([key.clone(), missing.clone()]),
        _ => None,
    }
}

/// Keeps a version as its patch if that is small and a checkpoint is near, else as a checkpoint.
fn version_row(
    record: ChangeRecord,
    checkpoint: Option<ConfigHead>,
    patch: ListsPatch,
) -> VersionRow {
    let patch = Some(patch).filter(|patch| json(patch).len() <= MAX_PATCH_BYTES);
    let near = |checkpoint: &ConfigHead| {
        record.head.version.0 - checkpoint.version.0 <= history::MAX_PATCHES
    };
    let checkpoint = checkpoint.filter(|checkpoint| patch.is_some() && near(checkpoint));
    VersionRow {
        checkpoint: checkpoint.unwrap_or(record.head),
        patch,
        record,
    }
}

fn transaction(condition: RowCondition, row: &VersionRow) -> [RowWrite; 3] {
    let record = &row.record;
    [
        RowWrite {
            condition,
            key: HEAD_KEY.into(),
            value: Some(json(&record.head)),
        },
        RowWrite {
            condition: RowCondition::Absent,
            key: history::change_key(&record.change),
            value: Some(json(&ChangeFate::Accepted(record.clone()))),
        },
        RowWrite {
            condition: RowCondition::Absent,
            key: history::version_key(record.head.version),
            value: Some(json(row)),
        },
    ]
}
