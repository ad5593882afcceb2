use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use medlarspool_mesh::{CrashEvidence, ReportedCrash};
use stakker::CX;
use xxhash_rust::xxh3::xxh3_64;

use crate::{node::Node, send_permission::SendPermission};

/// Connections to the target that break within this time of each other count as one crash, unless the target was back
/// meanwhile.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// The room for crashes in a report, in requests: for two crashes of targets with 18 slots, in about 400 bytes.
const CRASH_ROOM_PER_REPORT: usize = 40;

/// How long a crash is included in regular reports. Daemons that start later learn of it from a full report.
const CRASH_REPORT_PERIOD: Duration = Duration::from_secs(5);

impl Node {
    /// Decides whether a request that has a slot is sent to the target now.
    ///
    /// Of the requests that may have caused the same crash, only one runs at a target at a time, so that another crash
    /// there shows which one it is. A request that `may_share` has waited long enough.
    pub(crate) fn permit_sending(
        &mut self,
        now: Instant,
        run_number: u64,
        may_share: bool,
    ) -> SendPermission {
        let Some(work) = self.running.get(&run_number) else {
            return SendPermission::Granted;
        };
        let fingerprint = work.fingerprint;
        if self.crashes.is_quarantined(now, fingerprint) {
            return SendPermission::Quarantined;
        }
        let is_suspect = self.crashes.is_suspect(now, fingerprint);
        if is_suspect && !may_share {
            let mut others = self.running.values().filter(|other| {
                other.was_suspect
                    && other.fingerprint != fingerprint
                    && self
                        .crashes
                        .share_crash(now, fingerprint, other.fingerprint)
            });
            if others.next().is_some() {
                return SendPermission::Later;
            }
        }
        if let Some(work) = self.running.get_mut(&run_number) {
            work.is_sent = true;
            work.was_suspect = is_suspect;
        }
        SendPermission::Granted
    }

    /// Wakes the requests that wait until another suspect has ended.
    pub(crate) fn wake_held_suspects(&self) {
        if let Some(app) = &self.app {
            app.suspects_changed.notify_waiters();
        }
    }

    /// Records that a run was answered by the target: no run of a request that crashes targets is.
    pub(crate) fn record_completion(&mut self, cx: CX![], run_number: u64) {
        let now = cx.now();
        let Some(work) = self.running.get_mut(&run_number) else {
            return;
        };
        work.was_suspect = false;
        let fingerprint = work.fingerprint;
        if !self.crashes.is_suspect(now, fingerprint) {
            return;
        }
        if self.crashes.clear(now, fingerprint) {
            log::warn!(event = "request-cleared", fingerprint = format!("{fingerprint:x}").as_str(); "");
            self.schedule_report(cx);
        }
        self.wake_held_suspects();
    }

    /// Records a crash of the own target. All requests that had been sent to it are suspected of having caused it.
    ///
    /// The crash is reported at once, so that other daemons know of it before an entry sends the requests to them.
    pub(crate) fn record_crash(&mut self, cx: CX![]) {
        let now = cx.now();
        let is_same = self.last_crash_at.is_some_and(|at| {
            now.saturating_duration_since(at) < SAME_CRASH_WINDOW && self.own_target.is_down()
        });
        self.last_crash_at = Some(now);
        if is_same {
            // The first connection that broke has recorded all requests.
            return;
        }
        let id = self.new_crash_id();
        let sent = self.running.values().filter(|work| work.is_sent);
        let ran: HashSet<u64> = sent.clone().map(|work| work.fingerprint).collect();
        let suspects: HashSet<u64> = sent
            .filter(|work| work.was_suspect && self.crashes.is_suspect(now, work.fingerprint))
            .map(|work| work.fingerprint)
            .collect();
        for fingerprint in &ran {
            let evidence = match (suspects.contains(fingerprint), suspects.len()) {
                (false, _) => CrashEvidence::Ran,
                (true, 1) => CrashEvidence::Sole,
                (true, _) => CrashEvidence::Shared,
            };
            let crash = ReportedCrash {
                age: Duration::ZERO,
                evidence,
                fingerprint: *fingerprint,
                id,
            };
            self.learn_crash(now, crash, "own");
        }
        self.own_target.mark_down();
        log::warn!(event = "target-down", crash = format!("{id:x}").as_str(), ran = ran.len(), suspects = suspects.len(); "");
        self.update_gate(cx);
        self.send_report_to_all(now);
    }

    fn new_crash_id(&self) -> u64 {
        let target_born_ms = self.own_target.record().map_or(0, |target| target.born_ms);
        let address = self.settings.peer_address;
        let name = format!("{address} {target_born_ms} {}", self.next_run_number);
        xxh3_64(name.as_bytes())
    }

    /// Records what a crash says about a request, and logs it if the request is refused from now on.
    pub(crate) fn learn_crash(&mut self, now: Instant, crash: ReportedCrash, source: &str) {
        if self.crashes.record(now, crash) {
            log::warn!(
                event = "request-quarantined", fingerprint = format!("{:x}", crash.fingerprint).as_str(),
                crash = format!("{:x}", crash.id).as_str(), source = source; ""
            );
            self.wake_held_suspects();
        }
    }

    /// Returns the crashes for a regular report.
    pub(crate) fn recent_crashes(&mut self, now: Instant) -> Vec<ReportedCrash> {
        let earliest = now.checked_sub(CRASH_REPORT_PERIOD);
        self.crashes.to_report(now, CRASH_ROOM_PER_REPORT, earliest)
    }

    /// Returns the crashes for a full report.
    pub(crate) fn all_crashes(&mut self, now: Instant) -> Vec<ReportedCrash> {
        self.crashes.to_report(now, CRASH_ROOM_PER_REPORT, None)
    }
}
