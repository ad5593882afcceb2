use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_hop::Report;
use medlarspool_mesh::{PeerRecord, TargetLoad};
use stakker::{CX, after};

use crate::{app::App, full_report_kind::FullReportKind, node::Node};

/// How often a daemon reports to the others. Three lost reports in a row make it count as silent.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How many crashes a report tells of.
const CRASHES_IN_REPORT: usize = 12;

/// For how long a crash is told in all reports; who comes later is told of it when it is first heard.
const CRASH_TOLD_FOR: Duration = Duration::from_secs(5);

/// Every how many turns reports tell of other daemons.
const KNOWN_TURNS: u64 = 4;

/// How many other daemons' addresses a report tells of.
const KNOWN_IN_REPORT: usize = 2;

/// After how long a silent daemon is forgotten; the store's rows bring it back if it returns.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// After how long a daemon that was silent is told only now and then.
const QUIET_AFTER: Duration = Duration::from_secs(5);

/// Every how many turns a daemon that was silent for long is told.
const QUIET_TURNS: u64 = 4;

impl Node {
    /// Starts the reports.
    pub(crate) fn start(&mut self, cx: CX![], app: Rc<App>) {
        self.app = Some(app);
        self.tick(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        if let (Some(due), Some(app)) = (self.tick_due, &self.app) {
            let late = now.saturating_duration_since(due);
            app.metrics.loop_delay.observe(late.as_secs_f64());
        }
        self.tick_due = Some(now + REPORT_INTERVAL);
        self.turn += 1;
        self.directory.forget_silent(now, FORGET_AFTER);
        self.send_reports(now, false);
        if let Some(app) = &self.app {
            app.target_pool.sweep(now);
            app.peer_pool.sweep(now);
            app.runs.sweep(now);
            if !self.leaves_store_to_relays(now) {
                app.store_needed.notify_one();
            }
        }
        after!(REPORT_INTERVAL, [cx], tick());
    }

    /// Tells all daemons soon what has changed; several changes at once make one report.
    pub(crate) fn tell_soon(&mut self, cx: CX![]) {
        if !std::mem::replace(&mut self.urgent, true) {
            after!(Duration::from_millis(1), [cx], tell_now());
        }
    }

    fn tell_now(&mut self, cx: CX![]) {
        self.urgent = false;
        let now = cx.now();
        self.send_reports(now, true);
    }

    /// Returns what this daemon tells of itself, with the next number.
    pub(crate) fn next_record(&mut self) -> PeerRecord {
        self.report += 1;
        PeerRecord {
            address: self.settings.peer_address,
            availability_zone: self.settings.availability_zone.clone(),
            config_version: self.config_version(),
            incarnation: self.incarnation,
            load: self.load(),
            relays_config: self.relays_config(),
            report: self.report,
            serving: self.serving && self.own.usable().is_some(),
            target: self.own.record().cloned(),
        }
    }

    /// Returns how busy the target is.
    pub(crate) fn load(&self) -> TargetLoad {
        let wait = self.queue.expected_wait(u32::MAX);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let failing_of_256 = (self.failing * 256.0) as u32;
        TargetLoad {
            failing_of_256,
            running: self.queue.running(),
            wait_us: u32::try_from(wait.as_micros()).unwrap_or(u32::MAX),
            waiting_up_to: TargetLoad::count_waiting(|rank| self.queue.waiting(rank)),
        }
    }

    fn send_reports(&mut self, now: Instant, to_all: bool) {
        let record = self.next_record();
        if self.directory.hear(now, record.clone()).target {
            self.wake_waiting();
        }
        let own = self.settings.peer_address;
        let turn = self.turn;
        let young = self.is_young(now);
        let told: Vec<SocketAddr> = self
            .directory
            .peers()
            .filter(|(address, peer)| {
                let quiet = peer
                    .silent_for(now)
                    .is_none_or(|silent| silent > QUIET_AFTER);
                **address != own && (!quiet || young || turn.is_multiple_of(QUIET_TURNS))
            })
            .map(|(address, _)| *address)
            .collect();
        let turns = self.directory.report_turns();
        let this_turn = usize::try_from(turn).unwrap_or_default() % turns;
        let relays = self.relays_config();
        let follows = |address| relays && self.directory.is_follower(now, address);
        let earliest = now.checked_sub(CRASH_TOLD_FOR);
        let mut report = Report {
            crashes: self.crashes.latest(CRASHES_IN_REPORT, earliest),
            ..Report::of(record)
        };
        let mut encoded = report.encode();
        let tells_known = young || turn.is_multiple_of(KNOWN_TURNS);
        for (index, address) in told.iter().enumerate() {
            if to_all || index % turns == this_turn || follows(*address) {
                if tells_known {
                    report.known = self.some_known();
                    encoded = report.encode();
                }
                self.send(&encoded, *address);
            }
        }
    }

    /// Tells a daemon all that it may have missed.
    pub(crate) fn greet(&mut self, to: SocketAddr, greeting: FullReportKind) {
        let peer = self.directory.peer(to);
        let report = Report {
            answer: greeting == FullReportKind::Request,
            crashes: self.crashes.latest(CRASHES_IN_REPORT, None),
            known: self.some_known(),
            your_target: peer.and_then(|peer| peer.record().target.clone()),
            ..Report::of(self.next_record())
        };
        self.send(&report.encode(), to);
    }

    fn send(&self, report: &[u8], to: SocketAddr) {
        let Some(app) = &self.app else { return };
        if let Err(error) = app.reports.send_to(report, to) {
            app.metrics.reports_unsent.inc();
            log::debug!(event = "report-unsent", peer = to.to_string().as_str(), error = error.to_string().as_str(); "");
        }
    }

    /// Returns whether this daemon has started so lately that others may not know it.
    fn is_young(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < QUIET_AFTER
    }

    /// Draws some of the daemons known.
    fn some_known(&self) -> Vec<SocketAddr> {
        let count = self.directory.peers().count();
        (0..KNOWN_IN_REPORT.min(count))
            .filter_map(|_| self.directory.peers().nth(fastrand::usize(..count)))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Takes in another daemon's report.
    pub(crate) fn hear(&mut self, cx: CX![], report: Report) {
        let now = cx.now();
        let from = report.sender.address;
        if from == self.settings.peer_address {
            return;
        }
        let told = report.sender.config_version;
        let behind = self.config_version() < told;
        for (fingerprint, id) in &report.crashes {
            self.crashes.record(now, *fingerprint, *id);
        }
        let silent = !self.directory.is_alive(now, from);
        if let Some(target) = report.your_target {
            self.own.remember(target);
        }
        let news = self.directory.hear(now, report.sender);
        if news.daemon || silent || report.answer {
            // A daemon that has just started may not be heard otherwise, if the store didn't tell it of others.
            let asks = news.daemon && self.is_young(now) && !report.answer;
            let greeting = if asks {
                FullReportKind::Request
            } else {
                FullReportKind::Reply
            };
            self.greet(from, greeting);
        }
        for address in report.known {
            if address != self.settings.peer_address && self.directory.peer(address).is_none() {
                self.greet(address, FullReportKind::Request);
            }
        }
        if news.target {
            self.wake_waiting();
        }
        if let Some(app) = &self.app {
            if silent {
                log::info!(event = "peer-heard", peer = from.to_string().as_str(); "");
            }
            if behind {
                app.config_behind.notify_one();
            }
        }
    }
}
