use medlarspool_types::ChangeId;

use crate::{
    ChangeFate, Platform, PlatformError, RowCondition, RowWrite,
    history::{change_key, read_change, to_json},
};

/// The maximum number of attempts to withdraw a change.
const MAX_ATTEMPTS: u32 = 3;

/// Withdraws a change whose outcome is not known: unless it was accepted already, it never will be.
///
/// Inserts the change's row, so that a transaction still in flight fails its condition that this row is
/// absent.
///
/// # Errors
///
/// Fails if a call to the platform fails; the outcome is then still not known.
pub fn withdraw(platform: &dyn Platform, change: &ChangeId) -> Result<ChangeFate, PlatformError> {
    let fence = [RowWrite {
        condition: RowCondition::Absent,
        key: change_key(change),
        value: Some(to_json(&ChangeFate::Withdrawn)),
    }];
    let mut last_error = PlatformError::OutcomeUnknown("no attempt was made".into());
    for _ in 0..MAX_ATTEMPTS {
        match platform.transact(&fence) {
            Ok(()) => return Ok(ChangeFate::Withdrawn),
            Err(error @ (PlatformError::Conflict { .. } | PlatformError::OutcomeUnknown(_))) => {
                last_error = error;
            }
            Err(error) => return Err(error),
        }
        if let Some(fate) = read_change(platform, change)? {
            return Ok(fate);
        }
    }
    Err(last_error)
}
