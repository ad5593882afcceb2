use std::{collections::VecDeque, time::Duration};

use medlarspool_mesh::{BootTime, ConfirmationAge, ConfirmationPolicy};

use crate::{boot_clock::boot_time, pending_question::PendingQuestion};

/// What a daemon knows of the confirmation of its configuration, on which the expiry of clients' keys depends.
pub(crate) struct Confirmation {
    pub(crate) age: ConfirmationAge,
    /// The latest questions to peers that were not answered yet.
    pub(crate) pending_questions: VecDeque<PendingQuestion>,
    /// Whether keys were permitted when that was last logged.
    pub(crate) permitted_keys: bool,
    /// How long a confirmation permits keys; none if keys don't expire in this deployment.
    pub(crate) policy: Option<ConfirmationPolicy>,
    pub(crate) started_at: BootTime,
}

impl Confirmation {
    /// Creates the state of a daemon that starts; keys expire if `revoke_after` is given.
    pub(crate) fn new(revoke_after: Option<Duration>) -> Self {
        Self {
            age: ConfirmationAge::default(),
            pending_questions: VecDeque::new(),
            permitted_keys: false,
            policy: revoke_after.map(ConfirmationPolicy::new),
            started_at: boot_time(),
        }
    }
}
