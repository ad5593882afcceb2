use std::time::Duration;

use crate::{ConfirmationRole, ConfirmationStep};

/// The time for revocations to which the intervals below belong; they are scaled for others. With them followers'
/// confirmations are at most 2.2 s old while all is well: 1.05 s at the lead, and the intervals of a relay and of a
/// follower.
const REFERENCE_REVOKE_AFTER: Duration = Duration::from_secs(5);

/// How long the lead's feed is held.
const LEAD_FEED_WAIT: Duration = Duration::from_millis(500);

/// How often a relay asks the lead.
const RELAY_INTERVAL: Duration = Duration::from_millis(500);

/// How often a follower asks a relay.
const FOLLOWER_INTERVAL: Duration = Duration::from_millis(600);

/// The age above which relays call the store themselves.
const RELAY_STORE_AGE: Duration = Duration::from_millis(1_900);

/// The age above which every daemon calls the store itself.
const FOLLOWER_STORE_AGE: Duration = Duration::from_millis(2_900);

/// The time over which the followers spread their calls to the store.
const FOLLOWER_STORE_SPREAD: Duration = Duration::from_millis(400);

/// How much sooner than the users ask for it keys expire, for the time from the check to the hand-over and for clocks
/// that run at slightly different rates.
const MARGIN: Duration = Duration::from_millis(300);

/// Decides who asks whom for a confirmation of the configuration, and how long one permits keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmationPolicy {
    revoke_after: Duration,
}

impl ConfirmationPolicy {
    /// Creates the policy for a fleet in which no request that was sent later than `revoke_after` after its key was
    /// removed may run.
    #[must_use]
    pub const fn new(revoke_after: Duration) -> Self {
        Self { revoke_after }
    }

    /// Returns whether keys are permitted by a configuration whose confirmation has this age; none means that there
    /// was no confirmation since the start.
    #[must_use]
    pub fn permits_keys(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age < self.revoke_after.saturating_sub(MARGIN))
    }

    /// Returns how long the lead's feed is held.
    #[must_use]
    pub fn lead_feed_wait(&self) -> Duration {
        self.scaled(LEAD_FEED_WAIT)
    }

    /// Returns what a daemon does next. `age` is the age of its confirmation, or the time since its start if it has
    /// none.
    #[must_use]
    pub fn step(&self, role: ConfirmationRole, age: Duration) -> ConfirmationStep {
        let is_late = age
            > self.scaled(match role {
                ConfirmationRole::Follower => FOLLOWER_STORE_AGE,
                ConfirmationRole::Lead | ConfirmationRole::Relay => RELAY_STORE_AGE,
            });
        let (asks_peer, next_after, store_call_within) = match role {
            ConfirmationRole::Follower => {
                let spread = self.scaled(FOLLOWER_STORE_SPREAD);
                (
                    true,
                    self.scaled(FOLLOWER_INTERVAL),
                    is_late.then_some(spread),
                )
            }
            // Its own feed confirms it, so it has nothing to do before it is late.
            ConfirmationRole::Lead => {
                let until_late = self.scaled(RELAY_STORE_AGE).saturating_sub(age);
                let next_after = until_late.max(self.scaled(RELAY_INTERVAL));
                (is_late, next_after, is_late.then_some(Duration::ZERO))
            }
            ConfirmationRole::Relay => (
                true,
                self.scaled(RELAY_INTERVAL),
                is_late.then_some(Duration::ZERO),
            ),
        };
        ConfirmationStep {
            asks_peer,
            is_late,
            next_after,
            store_call_within,
        }
    }

    fn scaled(&self, interval: Duration) -> Duration {
        interval.mul_f64(self.revoke_after.as_secs_f64() / REFERENCE_REVOKE_AFTER.as_secs_f64())
    }
}
