use medlarspool_config::ListsPatch;

use crate::{Change, CommitError, CommitOutcome, Platform, committer::Committer};

/// The maximum number of attempts to commit one change. An attempt fails if another operator's change
/// was committed first or if an answer was lost.
const MAX_ATTEMPTS: u32 = 50;

/// Commits a change: writes its lists as an object if the version is a checkpoint, then runs one
/// transaction that updates head and inserts the rows of the change and its version.
///
/// Committing the same change again, even from another process, creates no second version. See
/// `docs/design/commit.md`.
///
/// # Errors
///
/// Fails if the change was refused or if its outcome is not known; the error says which, and why.
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
