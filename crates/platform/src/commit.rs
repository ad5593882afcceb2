use medlarspool_config::{EntryKey, Lists, ListsPatch};
use medlarspool_types::{ConfigHead, ConfigVersion};
use serde::Serialize;

use crate::{
    Change, ChangeRecord, CommitError, CommitOutcome, Platform, PlatformError, RowCondition,
    RowWrite,
    history::{self, HEAD_KEY},
};

/// The most tries to write one object.
const MAX_OBJECT_TRIES: u32 = 3;
/// The most tries of one change; each lost one means that another operator's change won.
const MAX_TRIES: u32 = 20;

/// Commits a change: its lists as an object, then one transaction that moves head and inserts the
/// change's rows.
///
/// # Errors
///
/// Says whether the change was refused, and why, or whether its outcome is not known.
pub fn commit(platform: &dyn Platform, change: &Change) -> Result<CommitOutcome, CommitError> {
    let mut attempt = Attempt {
        change,
        platform,
        unsettled: None,
    };
    let base = attempt.lists_of(change.base)?;
    let patch = ListsPatch::between(&base, &change.lists);
    for _ in 0..MAX_TRIES {
        if let Some(outcome) = attempt.once(&base, &patch)? {
            return Ok(outcome);
        }
    }
    Err(attempt.refuse(CommitError::TooManyRaces { tries: MAX_TRIES }))
}

/// Head as read, with its row's etag.
struct Head {
    condition: RowCondition,
    head: ConfigHead,
}

/// One change on its way.
struct Attempt<'change> {
    change: &'change Change,
    platform: &'change dyn Platform,
    /// The condition and the failure of a transaction that got no answer.
    unsettled: Option<Unsettled>,
}

struct Unsettled {
    condition: RowCondition,
    reason: PlatformError,
}

impl Attempt<'_> {
    fn once(
        &mut self,
        base: &Lists,
        patch: &ListsPatch,
    ) -> Result<Option<CommitOutcome>, CommitError> {
        let head = self.head()?;
        // Head was read first: a lost transaction on an older head has taken effect by now or never
        // will, because etags don't come back.
        let record = history::read_change(self.platform, &self.change.id);
        if let Some(record) = record.map_err(|error| self.failed(error))? {
            return Ok(Some(accepted(&record)));
        }
        if self
            .unsettled
            .as_ref()
            .is_some_and(|lost| lost.condition != head.condition)
        {
            self.unsettled = None;
        }
        let current = self.lists_at(head.head)?;
        self.refuse_overlap(base, patch, &current, head.head.version)?;
        let next = patch.apply(&current).map_err(CommitError::Invalid);
        let next = next.map_err(|error| self.refuse(error))?;
        if next == current && head.head.version != ConfigVersion::NONE {
            return Ok(Some(CommitOutcome::Unchanged { head: head.head }));
        }
        self.write(&head, &next)
    }

    fn write(&mut self, head: &Head, next: &Lists) -> Result<Option<CommitOutcome>, CommitError> {
        let record = ChangeRecord {
            asked_at_ms: self.change.asked_at_ms,
            base: self.change.base,
            change: self.change.id.clone(),
            head: ConfigHead {
                version: head.head.version.next(),
                digest: next.digest(),
            },
            operator: self.change.operator.clone(),
        };
        let name = history::object_name(record.head.digest);
        self.store(&name, &next.encode())?;
        match self
            .platform
            .transact(&transaction(head.condition, &record))
        {
            Ok(()) => Ok(Some(accepted(&record))),
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(PlatformError::OutcomeUnknown(reason)) => {
                self.unsettled = Some(Unsettled {
                    condition: head.condition,
                    reason: PlatformError::OutcomeUnknown(reason),
                });
                Ok(None)
            }
            Err(error) => Err(self.failed(error)),
        }
    }

    /// Writes the object, again if its answer was lost: the same content under its own digest's name
    /// does no harm.
    fn store(&self, name: &str, content: &[u8]) -> Result<(), CommitError> {
        let mut stored = self.platform.put_object(name, content);
        for _ in 1..MAX_OBJECT_TRIES {
            if !matches!(stored, Err(PlatformError::OutcomeUnknown(_))) {
                break;
            }
            stored = self.platform.put_object(name, content);
        }
        stored.map_err(|error| self.failed(error))
    }

    fn head(&self) -> Result<Head, CommitError> {
        let row = self
            .platform
            .row(HEAD_KEY)
            .map_err(|error| self.failed(error))?;
        let Some(row) = row else {
            return Ok(Head {
                condition: RowCondition::Absent,
                head: ConfigHead::default(),
            });
        };
        Ok(Head {
            condition: RowCondition::Matches(row.etag),
            head: history::parse(&row).map_err(|error| self.failed(error))?,
        })
    }

    fn lists_of(&self, version: ConfigVersion) -> Result<Lists, CommitError> {
        if version == ConfigVersion::NONE {
            return Ok(Lists::default());
        }
        let record = history::read_version(self.platform, version);
        let record = record.map_err(|error| self.failed(error))?;
        let record = record.ok_or(CommitError::UnknownVersion(version))?;
        self.lists_at(record.head)
    }

    fn lists_at(&self, head: ConfigHead) -> Result<Lists, CommitError> {
        if head.version == ConfigVersion::NONE {
            return Ok(Lists::default());
        }
        history::read_lists(self.platform, head).map_err(|error| self.failed(error))
    }

    /// Refuses if an entry of the patch was changed by others since its base, to something else.
    fn refuse_overlap(
        &self,
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
        Err(self.refuse(CommitError::Conflict {
            base: self.change.base,
            key,
            winner,
        }))
    }

    /// Finds the newest version that changed an entry, by walking back from head.
    fn winner(
        &self,
        current: &Lists,
        head: ConfigVersion,
        key: &EntryKey,
    ) -> Result<ConfigVersion, CommitError> {
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

    /// Gives a failure's meaning: a change with an unsettled transaction may yet be accepted.
    fn failed(&self, error: PlatformError) -> CommitError {
        self.refuse(CommitError::Platform(error))
    }

    fn refuse(&self, error: CommitError) -> CommitError {
        match &self.unsettled {
            None => error,
            Some(lost) => CommitError::OutcomeUnknown {
                change: self.change.id.clone(),
                reason: lost.reason.clone(),
            },
        }
    }
}

fn accepted(record: &ChangeRecord) -> CommitOutcome {
    CommitOutcome::Accepted {
        head: record.head,
        rebased: record.head.version != record.base.next(),
    }
}

fn transaction(condition: RowCondition, record: &ChangeRecord) -> [RowWrite; 3] {
    let row = json(record);
    [
        RowWrite {
            condition,
            key: HEAD_KEY.into(),
            value: Some(json(&record.head)),
        },
        RowWrite {
            condition: RowCondition::Absent,
            key: history::change_key(&record.change),
            value: Some(row.clone()),
        },
        RowWrite {
            condition: RowCondition::Absent,
            key: history::version_key(record.head.version),
            value: Some(row),
        },
    ]
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
