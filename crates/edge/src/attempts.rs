use std::{net::SocketAddr, time::Duration};

use medlarspool_hop::RefusalReason;
use medlarspool_mesh::TargetChoice;

use crate::{
    failure::{Failure, RETRY_UNCONFIRMED_AFTER},
    pending_hops::PendingHop,
    reply::Reply,
};

/// The shortest retry delay that a client is given: the time of two hops.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The longest retry delay that a client is given: a target that takes no requests may take some again after it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// The results of a request's attempts so far.
#[allow(clippy::struct_excessive_bools)] // They are independent facts.
#[derive(Default)]
pub(crate) struct Attempts {
    /// The attempts that arrived at a target, or may have.
    pub(crate) arrival_count: u32,
    /// A target's response with a status of 500 or more, which is passed on if no later attempt has a response.
    pub(crate) error_response: Option<Reply>,
    /// Whether an attempt failed at a target whose version is being rolled out, so that the next ones avoid them.
    pub(crate) failed_at_canary: bool,
    /// The daemons whose targets were attempted.
    pub(crate) excluded_daemons: Vec<SocketAddr>,
    /// Whether the calls of the next run count as retries that were not paid for.
    pub(crate) has_unpaid_calls: bool,
    /// Whether a retry was paid for out of the budget, and no copy has arrived at a target for it yet.
    pub(crate) is_copy_paid: bool,
    /// Whether a gate's refusal, or a panic of this daemon, rules out further copies.
    pub(crate) is_final: bool,
    /// The reason given by the latest attempt that ended without a run.
    pub(crate) last_reason: Option<RefusalReason>,
    /// Whether an attempt was lost at a target that may have run the request.
    pub(crate) may_have_run: bool,
    /// The shortest time after which a busy gate may have room; none if no gate was busy.
    pub(crate) min_wait: Option<Duration>,
    /// The attempts that were sent to targets whose version is being rolled out.
    pub(crate) canary_count: u32,
    /// The attempts that ended without a run, also those that did not reach a gate.
    pub(crate) not_run_count: usize,
}

impl Attempts {
    /// Returns how many attempts were sent to targets whose version is being rolled out; none if there were none, so
    /// that log lines don't name them where rollouts are off.
    pub(crate) fn logged_canary_count(&self) -> Option<u32> {
        (self.canary_count > 0).then_some(self.canary_count)
    }

    /// Records that a copy arrived at a target, or may have.
    pub(crate) fn record_arrival(&mut self, choice: &TargetChoice) {
        self.arrival_count += 1;
        self.exclude(choice);
        self.failed_at_canary |= choice.is_canary;
    }

    /// Records that a copy did not run; `gate_wait` is how long the gate would have made it wait.
    pub(crate) fn record_not_run(
        &mut self,
        hop: &PendingHop<'_>,
        reason: RefusalReason,
        gate_wait: Duration,
    ) {
        self.exclude(&hop.choice);
        self.not_run_count += 1;
        self.last_reason = Some(reason);
        if reason == RefusalReason::TargetRefused {
            self.record_arrival(&hop.choice);
        } else {
            self.is_copy_paid |= hop.is_paid;
        }
        match reason {
            RefusalReason::Busy => self.record_wait(gate_wait),
            RefusalReason::Unconfirmed => self.record_wait(RETRY_UNCONFIRMED_AFTER),
            _ => {}
        }
    }

    /// Excludes the daemon of a choice from the next ones.
    pub(crate) fn exclude(&mut self, choice: &TargetChoice) {
        if !self.excluded_daemons.contains(&choice.address) {
            self.excluded_daemons.push(choice.address);
        }
    }

    /// Records the time after which a busy gate may have room.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.min_wait = Some(self.min_wait.map_or(wait, |other| other.min(wait)));
    }

    /// Returns the failure of a request that gets no further attempt and did not run in the last one.
    ///
    /// The client of a request that ran in no attempt is given a retry delay, with jitter.
    pub(crate) fn give_up(&self, reason: RefusalReason) -> Failure {
        if self.may_have_run {
            return Failure::may_have_run(reason);
        }
        let wait = self.min_wait.unwrap_or(MIN_RETRY_AFTER);
        let wait = wait.min(MAX_RETRY_AFTER);
        let jittered_wait = wait.mul_f64(0.5 + fastrand::f64());
        Failure {
            retry_after: Some(jittered_wait.max(MIN_RETRY_AFTER)),
            ..Failure::not_run(reason)
        }
    }
}
