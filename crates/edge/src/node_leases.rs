use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use medlarspool_mesh::{QuotaLeases, QuotaPartition};
use stakker::CX;

use crate::{boot_clock::boot_time, lease_result::LeaseResult, lease_step::LeaseStep, node::Node};

/// How long after its start a daemon waits to hear of most holders before it is ready: the answers to its first reports
/// come sooner. Clients would otherwise be refused.
const HOLDERS_WAIT: Duration = Duration::from_secs(1);

/// How many partitions must have a known holder for a daemon to be ready sooner: three quarters.
const MIN_KNOWN_HOLDERS: usize = QuotaPartition::COUNT as usize / 4 * 3;

impl Node {
    /// Returns the bits of the partitions that this daemon holds.
    pub(crate) fn held_partitions(&self) -> u32 {
        let leases = self.quotas.leases.as_ref();
        leases.map_or(0, |leases| leases.held_bits(boot_time()))
    }

    /// Applies a raised incarnation of this daemon.
    pub(crate) fn apply_incarnation(&mut self, cx: CX![]) {
        if let Some(leases) = &mut self.quotas.leases {
            leases.set_incarnation(boot_time(), self.incarnation);
            self.settle_leases(cx);
        }
    }

    /// Logs and reports changes of the leases, and wakes the task that keeps them if it has to do something sooner than
    /// it knows.
    pub(crate) fn settle_leases(&mut self, cx: CX![]) {
        let own_address = self.settings.peer_address;
        let era = self
            .app
            .as_ref()
            .map_or_else(Default::default, |app| app.store.era());
        let Some(leases) = &mut self.quotas.leases else {
            return;
        };
        let now = boot_time();
        leases.learn_era(now, era);
        for event in leases.take_events() {
            log::info!(event = "quota-lease", partition = event.partition.number(), holder = own_address.to_string().as_str(), reason = event.change.to_string().as_str(); "");
        }
        let held_bits = leases.held_bits(now);
        let due_at = leases.next_due();
        let wakes_at = self.quotas.wakes_at;
        let is_sooner = due_at.is_some_and(|due| wakes_at.is_none_or(|at| due < at));
        let has_changed = std::mem::replace(&mut self.quotas.reported_bits, held_bits) != held_bits;
        if let Some(app) = &self.app {
            app.metrics
                .quota_partitions
                .set(held_bits.count_ones().into());
            if is_sooner {
                app.leases_changed.notify_one();
            }
        }
        if has_changed {
            self.schedule_report(cx);
        }
    }

    /// Returns what the task that keeps the leases does next.
    pub(crate) fn next_lease_step(&mut self, cx: CX![]) -> LeaseStep {
        let was_row_written = self
            .app
            .as_ref()
            .is_some_and(|app| app.row_was_written.get());
        self.settle_leases(cx);
        let Some(leases) = &mut self.quotas.leases else {
            self.quotas.wakes_at = None;
            return LeaseStep::Wait(None);
        };
        if was_row_written {
            leases.record_start();
        }
        let now = boot_time();
        let call = leases.next_call(now);
        let due_at = leases.next_due();
        self.quotas.wakes_at = due_at;
        // A lease that ended in this call is to be reported.
        self.settle_leases(cx);
        match call {
            Some(call) => LeaseStep::Call(call),
            None => LeaseStep::Wait(due_at.map(|at| at.saturating_since(now))),
        }
    }

    /// Applies what became of a call to the store for the leases.
    pub(crate) fn apply_lease_result(&mut self, cx: CX![], number: u64, result: &LeaseResult) {
        // The era may have risen while the call was under way.
        self.settle_leases(cx);
        let Some(leases) = &mut self.quotas.leases else {
            return;
        };
        let now = boot_time();
        match result {
            LeaseResult::Failed(failure) => leases.receive_failure(now, number, *failure),
            LeaseResult::Read(era, rows) => leases.receive_rows(now, number, *era, rows),
            LeaseResult::Written(era, version) => {
                leases.receive_written(now, number, *era, *version);
            }
        }
        if let Some(app) = &self.app
            && leases.is_released()
        {
            app.leases_released.notify_waiters();
        }
        self.settle_leases(cx);
    }

    /// Gives up a call to the store whose result nobody waits for any more.
    pub(crate) fn abandon_lease_call(&mut self) {
        if let Some(leases) = &mut self.quotas.leases {
            leases.abandon_call(boot_time());
        }
    }

    /// Stops granting for a planned stop and gives the partitions back.
    pub(crate) fn stop_leases(&mut self, cx: CX![]) {
        if let Some(leases) = &mut self.quotas.leases {
            leases.stop(boot_time());
            if let Some(app) = &self.app {
                app.leases_changed.notify_one();
            }
        }
        self.settle_leases(cx);
    }

    /// Returns whether a planned stop has no partition left to give back.
    pub(crate) fn are_leases_released(&self) -> bool {
        let leases = self.quotas.leases.as_ref();
        leases.is_none_or(QuotaLeases::is_released)
    }

    /// Returns whether clients with limits can be served: most holders are known, or didn't become known for a while.
    pub(crate) fn knows_holders(&self, now: Instant) -> bool {
        let Some(leases) = &self.quotas.leases else {
            return true;
        };
        let started_recently = now.saturating_duration_since(self.started_at) < HOLDERS_WAIT;
        let boot_time = boot_time();
        !started_recently
            || QuotaPartition::all()
                .filter(|partition| leases.believed_holder(boot_time, *partition).is_some())
                .count()
                >= MIN_KNOWN_HOLDERS
    }

    /// Receives the part of another daemon's report that tells which partitions it holds.
    pub(crate) fn receive_held_partitions(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        partitions: u32,
    ) {
        if let Some(leases) = &mut self.quotas.leases {
            leases.receive_report(boot_time(), from, incarnation, partitions);
        }
    }
}
