use medlarspool_config::ListsPatch;

use crate::{Change, CommitError, CommitOutcome, Platform, committer::Committer};

/// The most tries of one change; each lost one means that another operator's change won or that
/// an answer was lost.
const MAX_ATTEMPTS: u32 = 50;

/// Commits a change: its lists as an object, then one transaction that moves head and inserts the
/// change's rows.
///
/// Committing the same change again, also by another process, makes no second version. See
/// `docs/design/commit.md`.
///
/// # Errors
///
/// Says whether the change was refused, and why, or whether its outcome is not known.
pub fn commit(platform: &dyn Platform, change: &Change) -> Result<CommitOutcome, CommitError> {
    let mut committer = Committer::new(platform, change);
    let base = match committer.read_base() {
        Ok(base) => base,
        Err(error) => return committer.settle(Err(error)),
    };
    let patch = ListsPatch::between(&base, &change.lists);
    for _ in 0..MAX_ATTEMPTS {
        match committer.attempt(&base, &patch) {
            Ok(None) => {}
            Ok(Some(outcome)) => return committer.settle(Ok(outcome)),
            Err(error) => return committer.settle(Err(error)),
        }
    }
    committer.settle(Err(CommitError::TooManyAttempts {
        attempts: MAX_ATTEMPTS,
    }))
}
