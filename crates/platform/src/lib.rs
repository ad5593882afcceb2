//! The client of the platform's table service and object store, and the commit protocol for changes
//! of the lists.
//!
//! All state that must outlive a process is stored in the platform. See `docs/design/store.md` and
//! `docs/design/commit.md`.

mod change;
mod change_fate;
mod change_record;
mod commit;
mod commit_error;
mod commit_outcome;
mod committer;
mod fake_counts;
mod fake_faults;
mod fake_platform;
mod history;
mod http_platform;
mod platform;
mod platform_error;
mod row;
mod row_condition;
mod row_write;
mod table_batch;
mod table_key;
mod version_lists;
mod version_row;
mod withdraw;

pub use crate::{
    change::Change,
    change_fate::ChangeFate,
    change_record::ChangeRecord,
    commit::commit,
    commit_error::CommitError,
    commit_outcome::CommitOutcome,
    fake_counts::FakeCounts,
    fake_faults::FakeFaults,
    fake_platform::FakePlatform,
    history::{list_versions, read_change, read_head, read_lists, read_snapshot, read_version},
    http_platform::HttpPlatform,
    platform::Platform,
    platform_error::PlatformError,
    row::Row,
    row_condition::RowCondition,
    row_write::RowWrite,
    table_batch::{BatchConflict, TableBatch},
    withdraw::withdraw,
};
