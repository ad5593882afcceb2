use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_hop::Report;
use medlarspool_mesh::{Peer, PeerRecord, StoreEra, TargetLoad};
use stakker::CX;

use crate::{
    app::App,
    boot_clock::boot_time,
    fault_injection::{is_injected, reach},
    fault_point::FaultPoint,
    full_report_kind::FullReportKind,
    node::Node,
    node_rollouts::MAX_TICK_DELAY,
    node_timer::NodeTimer,
    ticket_guard::TicketGuard,
};

/// The interval between a daemon's reports. A daemon counts as silent after three lost reports in a row.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Reports include addresses of other daemons once in this many ticks.
const TICKS_PER_KNOWN_PEERS: u64 = 4;

/// The most addresses of other daemons in a report.
const MAX_KNOWN_PEERS_PER_REPORT: usize = 2;

/// After how long a silent daemon is removed from the directory, at the earliest. Its row in the store or its
/// reports add it again if it returns.
const REMOVE_SILENT_AFTER: Duration = Duration::from_mins(1);

/// After how long a silent daemon gets reports less often, at the earliest, as does one that never reported. A
/// daemon that started more recently than this sends to all that it knows, since it doesn't know yet which ones are
/// silent.
const LONG_SILENT_AFTER: Duration = Duration::from_secs(5);

/// Daemons that were silent for long get a report once in this many ticks.
const TICKS_PER_LONG_SILENT_REPORT: u64 = 4;

impl Node {
    /// Starts the periodic reports.
    pub(crate) fn start(&mut self, cx: CX![], app: Rc<App>) {
        self.app = Some(app);
        self.fire(cx, NodeTimer::Tick);
    }

    /// Sends the regular reports and cleans up.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        reach(FaultPoint::Tick, "");
        if is_injected(FaultPoint::TickGuard, "")
            && let Some(app) = self.app.clone()
        {
            drop(TicketGuard {
                app,
                ticket: u64::MAX,
            });
        }
        let now = cx.now();
        if let (Some(due), Some(app)) = (self.tick_due_at, &self.app) {
            let delay = now.saturating_duration_since(due);
            app.metrics.loop_delay.observe(delay.as_secs_f64());
            if delay > MAX_TICK_DELAY {
                self.resumed_at = Some(now);
            }
        }
        self.tick_due_at = Some(now + REPORT_INTERVAL);
        self.tick_number += 1;
        let max_silence = REMOVE_SILENT_AFTER.max(self.directory.silence_timeout(false));
        self.directory.remove_silent(now, max_silence);
        self.transit_times.sweep(boot_time());
        self.tick_quotas(cx);
        self.send_reports(now, false);
        self.log_election(now);
        self.tick_rollouts(cx);
        if let Some(app) = &self.app {
            app.target_pool.sweep(now);
            app.peer_pool.sweep(now);
            app.runs.sweep(now);
            if !self.follows_relays(now) {
                app.store_needed.notify_one();
            }
            if self.queue.limiter.is_unconfirmed(now) {
                app.limit_unconfirmed.notify_one();
            }
        }
    }

    /// Schedules a report to all daemons in a millisecond, so that several changes share one report.
    pub(crate) fn schedule_report(&mut self, cx: CX![]) {
        if !std::mem::replace(&mut self.report_scheduled, true) {
            Self::set_timer(cx, Duration::from_millis(1), NodeTimer::ScheduledReport);
        }
    }

    pub(crate) fn send_scheduled_report(&mut self, cx: CX![]) {
        self.report_scheduled = false;
        self.send_report_to_all(cx.now());
    }

    /// Reports to all peers now.
    pub(crate) fn send_report_to_all(&mut self, now: Instant) {
        self.send_reports(now, true);
    }

    /// Returns this daemon's record for a report or for the store, with the next report number.
    pub(crate) fn next_record(&mut self, now: Instant) -> PeerRecord {
        self.report_number += 1;
        PeerRecord {
            address: self.settings.peer_address,
            availability_zone: self.settings.availability_zone.clone(),
            can_relay_config: self.settings.has_fast_link() && self.serving,
            config_version: self.config_version(),
            incarnation: self.incarnation,
            load: self.load(now),
            relays_config: self.relays_config(now),
            report_number: self.report_number,
            serving: self.serving && self.own_target.usable().is_some(),
            target: self.own_target.record().cloned(),
        }
    }

    /// Returns the load of the own target.
    pub(crate) fn load(&self, now: Instant) -> TargetLoad {
        let wait = self.queue.expected_wait(now, u32::MAX);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let failed_runs_of_256 = (self.failure_rate * 256.0) as u32;
        let link_times = self
            .app
            .as_ref()
            .map(|app| app.response_buffers.link_times(now));
        let (queued_time, mean_time) = link_times.unwrap_or_default();
        TargetLoad {
            failed_runs_of_256,
            limit: self.queue.limiter.limit(),
            mean_response_ms: rounded_millis(mean_time),
            queued_response_ms: rounded_millis(queued_time),
            running_count: self.queue.running_count(),
            waiting_beyond_priority: TargetLoad::count_beyond_priorities(|rank| {
                self.queue.waiting_count(rank)
            }),
            wait_us: u32::try_from(wait.as_micros()).unwrap_or(u32::MAX),
            waiting_calls: u32::try_from(self.queue.waiting_call_count()).unwrap_or(u32::MAX),
            waiting_up_to_rank: TargetLoad::count_waiting(|rank| self.queue.waiting_count(rank)),
        }
    }

    /// Reports to the peers: to all of them, or else to this tick's batch and, as a relay, to all followers.
    ///
    /// Peers that were silent for long are skipped in most ticks. The own record is entered into the directory.
    fn send_reports(&mut self, now: Instant, to_all: bool) {
        let record = self.next_record(now);
        // In a planned stop the own clients' requests still reach the own target, which may be the only one.
        let own_record = PeerRecord {
            serving: self.own_target.usable().is_some(),
            ..record.clone()
        };
        if self
            .directory
            .receive_report(now, own_record)
            .target_became_usable
        {
            self.wake_target_waiters();
        }
        let own_address = self.settings.peer_address;
        let tick_number = self.tick_number;
        let just_started = self.has_just_started(now);
        let recipients: Vec<(SocketAddr, bool)> = self
            .directory
            .peers()
            .filter(|(address, peer)| {
                let silence_timeout = self
                    .directory
                    .silence_timeout(self.directory.is_local(peer));
                let is_long_silent = peer
                    .silent_for(now)
                    .is_none_or(|silence| silence > LONG_SILENT_AFTER.max(silence_timeout));
                **address != own_address
                    && (!is_long_silent
                        || just_started
                        || tick_number.is_multiple_of(TICKS_PER_LONG_SILENT_REPORT))
            })
            .map(|(address, peer)| (*address, self.directory.is_local(peer)))
            .collect();
        let tick_index = usize::try_from(tick_number).unwrap_or_default();
        let crashes = self.recent_crashes(now);
        let is_in_batch = |index: usize, is_local| {
            let batch_count = self.directory.report_batch_count(is_local);
            index % batch_count == tick_index % batch_count
        };
        let is_relay = self.relays_config(now);
        let follows_this_relay = |address| is_relay && self.directory.is_follower(now, address);
        let mut report = Report {
            quota_partitions: self.held_partitions(),
            sent: Some(self.send_stamp()),
            store_era: self.store_era(),
            crashes,
            ..Report::of(record)
        };
        self.add_rollouts(now, &mut report, false);
        let mut encoded = report.encode();
        let decider = self.reported_decider(now);
        let includes_known_peers =
            just_started || tick_number.is_multiple_of(TICKS_PER_KNOWN_PEERS);
        let (mut local_count, mut remote_count) = (0, 0);
        for (address, is_local) in &recipients {
            let count = if *is_local {
                &mut local_count
            } else {
                &mut remote_count
            };
            let index = *count;
            *count += 1;
            if to_all
                || is_in_batch(index, *is_local)
                || follows_this_relay(*address)
                || decider == Some(*address)
            {
                if includes_known_peers {
                    report.known_peers = self.sample_known_peers();
                }
                if includes_known_peers {
                    encoded = report.encode();
                }
                self.send(&encoded, *address);
            }
        }
    }

    /// Sends a daemon all that it may have missed: the latest crashes, what is known of its target, and some
    /// known daemons.
    pub(crate) fn send_full_report(&mut self, now: Instant, to: SocketAddr, kind: FullReportKind) {
        let crashes = self.all_crashes(now);
        let peer = self.directory.peer(to);
        let mut report = Report {
            reply_requested: kind == FullReportKind::Request,
            crashes,
            known_peers: self.sample_known_peers(),
            quota_partitions: self.held_partitions(),
            receiver_target: peer.and_then(|peer| peer.latest_target().cloned()),
            receiver_incarnation: peer.map_or(0, |peer| peer.record().incarnation),
            sent: Some(self.send_stamp()),
            store_era: self.store_era(),
            ..Report::of(self.next_record(now))
        };
        self.add_rollouts(now, &mut report, true);
        self.send(&report.encode(), to);
    }

    fn store_era(&self) -> Option<StoreEra> {
        self.app.as_ref().and_then(|app| app.store.era_watch.era())
    }

    pub(crate) fn send(&self, report: &[u8], to: SocketAddr) {
        let Some(app) = &self.app else { return };
        if let Err(error) = app.report_socket.send_to(report, to) {
            app.metrics.reports_unsent.inc();
            log::debug!(event = "report-unsent", peer = to.to_string().as_str(), error = error.to_string().as_str(); "");
        }
    }

    /// Returns whether this daemon started so recently that others may not know it.
    fn has_just_started(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) < LONG_SILENT_AFTER
    }

    /// Draws the addresses of some known daemons at random.
    fn sample_known_peers(&self) -> Vec<SocketAddr> {
        let count = self.directory.peers().count();
        (0..MAX_KNOWN_PEERS_PER_REPORT.min(count))
            .filter_map(|_| self.directory.peers().nth(fastrand::usize(..count)))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Handles another daemon's report.
    pub(crate) fn handle_report(&mut self, cx: CX![], report: Report) {
        reach(FaultPoint::Report, "");
        let now = cx.now();
        let sender_address = report.sender.address;
        if sender_address == self.settings.peer_address {
            return;
        }
        if let Some(stamp) = report.sent {
            self.transit_times.record(boot_time(), stamp);
        }
        self.learn_reported_rollouts(cx, &report);
        let reported_version = report.sender.config_version;
        let refused = self.refused_config.as_ref();
        let is_behind = self.config_version() < reported_version
            && refused.is_none_or(|refused| !refused.rules_out(now, reported_version));
        for crash in &report.crashes {
            self.learn_crash(now, *crash, "peer");
        }
        if report.receiver_incarnation > self.incarnation {
            // The clock was set back, and the store doesn't have the row of the earlier incarnation.
            self.incarnation = report.receiver_incarnation.saturating_add(1);
            self.apply_incarnation(cx);
        }
        if let (Some(era), Some(app)) = (report.store_era, &self.app) {
            app.store.era_watch.learn(era, "peer");
        }
        self.settle_leases(cx);
        let was_silent = !self.directory.is_alive(now, sender_address);
        if let Some(target) = report.receiver_target
            && self.own_target.restore(target)
        {
            self.apply_target_change(cx);
        }
        let sender_life = (report.sender.incarnation, report.sender.report_number);
        let changes = self.directory.receive_report(now, report.sender);
        // An older report than the latest one says nothing.
        let latest = self.directory.peer(sender_address).map(Peer::record);
        if latest.is_some_and(|latest| (latest.incarnation, latest.report_number) == sender_life) {
            self.receive_held_partitions(sender_address, sender_life.0, report.quota_partitions);
        }
        if changes.daemon_added || was_silent || report.reply_requested {
            // A daemon that has just started asks for a full report too: if the store returned no
            // rows of other daemons, this may be the only request for one.
            let asks_for_reply =
                changes.daemon_added && self.has_just_started(now) && !report.reply_requested;
            let kind = if asks_for_reply {
                FullReportKind::Request
            } else {
                FullReportKind::Reply
            };
            self.send_full_report(now, sender_address, kind);
        }
        for address in report.known_peers {
            if address != self.settings.peer_address && self.directory.peer(address).is_none() {
                self.send_full_report(now, address, FullReportKind::Request);
            }
        }
        if changes.target_became_usable {
            if let Some(tracker) = &mut self.rollouts {
                tracker.latch_due = true;
            }
            self.wake_target_waiters();
        }
        if let Some(app) = &self.app {
            if was_silent {
                log::info!(event = "peer-heard", peer = sender_address.to_string().as_str(); "");
            }
            if is_behind {
                app.config_behind.notify_one();
            }
        }
    }
}

/// Returns the nearest whole number of milliseconds, as loads carry it.
fn rounded_millis(time: Duration) -> u32 {
    let millis = (time + Duration::from_micros(500)).as_millis();
    u32::try_from(millis).unwrap_or(u32::MAX)
}
