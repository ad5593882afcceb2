use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_mesh::{
    CanaryChoice, Directory, ExposureLimiter, OpenReason, Peer, RolloutEvidence, RolloutJudge,
    RolloutOrder, RolloutPlan, RolloutProgress, RolloutSettings, RolloutState, RolloutStatus,
    RolloutStep, RolloutVerdict, Rollouts, RouteKey, ServiceVersions, StoreEra, StorePosition,
    TargetEvidence, TargetRecord, VersionUse,
};

/// The part of the allowed exposure that is used while the verdict is open; the rest is a margin for retries and for
/// entries that restart.
const EXPOSURE_MARGIN: f64 = 0.7;

/// How long the number of stable targets is used before it is counted again.
const STABLE_COUNT_MAX_AGE: Duration = Duration::from_millis(100);

/// What a daemon knows of rollouts, and how its entry and its gate take part in them.
pub(crate) struct RolloutTracker {
    /// The evidence on the running orders, by service.
    cases: BTreeMap<Rc<str>, RolloutCase>,
    /// When this daemon, as the decider, last decided about running orders.
    pub(crate) decided_at: Option<Instant>,
    /// Whether the orders in the operator's table were read.
    pub(crate) has_read_orders: bool,
    /// Whether the orders are known, from the store or from a peer.
    pub(crate) knows_orders: bool,
    /// Whether targets became known whose version in use may have to be latched.
    pub(crate) latch_due: bool,
    limiters: HashMap<Rc<str>, OrderLimiter>,
    /// The runs at the own target since its start, as far as this daemon saw them.
    own_evidence: Option<TargetEvidence>,
    /// The shares of the running orders that other daemons apply, as they reported them last.
    peer_shares: HashMap<SocketAddr, Vec<(RolloutOrder, u16)>>,
    /// Orders that were read before the status rows, which tell whether they are outdated.
    pub(crate) pending_orders: Vec<RolloutOrder>,
    /// The positions of orders that were refused, by service, so that each is logged once.
    pub(crate) refused_positions: HashMap<Rc<str>, StorePosition>,
    pub(crate) rollouts: Rollouts,
    settings: RolloutSettings,
    stable_counts: HashMap<Rc<str>, (Instant, usize)>,
    /// The verdicts in the status rows as they were read or written last, by service: the version that was ordered,
    /// and the position of the row.
    pub(crate) stored_verdicts: HashMap<Rc<str>, (Rc<str>, StorePosition)>,
    /// Until when other daemons, which started or were paused, make no decisions.
    settling_until: HashMap<SocketAddr, Instant>,
    /// The era of the store in which the status rows were read last; none before the first read.
    pub(crate) statuses_era: Option<StoreEra>,
}

/// The exposure limiter of an order.
struct OrderLimiter {
    limiter: ExposureLimiter,
    order: RolloutOrder,
}

/// What is known of a running order's new version.
struct RolloutCase {
    evidence: RolloutEvidence,
    judge: RolloutJudge,
    order: RolloutOrder,
    verdict: RolloutVerdict,
}

impl RolloutTracker {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        Self {
            cases: BTreeMap::new(),
            decided_at: None,
            has_read_orders: false,
            knows_orders: false,
            latch_due: false,
            limiters: HashMap::new(),
            own_evidence: None,
            peer_shares: HashMap::new(),
            pending_orders: Vec::new(),
            refused_positions: HashMap::new(),
            rollouts: Rollouts::default(),
            settings,
            stable_counts: HashMap::new(),
            settling_until: HashMap::new(),
            stored_verdicts: HashMap::new(),
            statuses_era: None,
        }
    }

    /// Returns whether the status rows were read in this era of the store. The store may not have named its era when
    /// they were read.
    pub(crate) fn has_read_statuses_of(&self, era: StoreEra) -> bool {
        self.statuses_era
            .is_some_and(|read| read >= era || read == StoreEra::default())
    }

    /// Returns whether an order is an earlier one than the known order, of which the store's older copy doesn't know:
    /// the copy has its verdict, and it has a lower version than the known order had in the era before.
    pub(crate) fn is_before_known_order(&self, now: Instant, order: &RolloutOrder) -> bool {
        let known = self.rollouts.status(now, &order.service);
        let verdict = self.stored_verdicts.get(&order.service);
        known.zip(verdict).is_some_and(|(known, (to, row))| {
            let known = &known.order;
            let is_from_copy = known.position.era < order.position.era
                && known.position.version > order.position.version;
            let has_verdict = *to == order.to && row.version > order.position.version;
            !known.is_same(order) && is_from_copy && has_verdict
        })
    }

    /// Returns the status of a service's order while it is running.
    pub(crate) fn running(&self, now: Instant, service: &str) -> Option<RolloutStatus> {
        let status = self.rollouts.status(now, service)?;
        (status.state == RolloutState::Running).then_some(status)
    }

    /// Returns the statuses of all running orders.
    pub(crate) fn all_running(&self, now: Instant) -> Vec<RolloutStatus> {
        let mut statuses = self.rollouts.statuses(now);
        statuses.retain(|status| status.state == RolloutState::Running);
        statuses
    }

    /// Returns all statuses, the newest orders first.
    pub(crate) fn newest(&self, now: Instant) -> Vec<RolloutStatus> {
        let mut statuses = self.rollouts.statuses(now);
        statuses.sort_by_key(|status| std::cmp::Reverse(status.order.position));
        statuses
    }

    /// Latches the version in use of a service, unless it is latched.
    ///
    /// Targets whose daemons weren't heard yet, but have a row in the store, are counted too: the first one that a
    /// daemon hears of after its start may be a new one. A target that was found by a probe has no version yet, and
    /// isn't counted.
    pub(crate) fn latch(&mut self, directory: &Directory, service: &Rc<str>) {
        let is_counted = |target: &&TargetRecord| {
            let is_announced = target.born_ms != 0 || target.sequence != 0;
            target.service == *service && target.is_usable() && is_announced
        };
        let targets = directory
            .peers()
            .filter_map(|(_, peer)| peer.record().target.as_ref())
            .filter(is_counted)
            .map(|target| (&target.version, target.born_ms));
        self.rollouts.latch(service, targets);
    }

    /// Returns which versions of a service may get requests.
    pub(crate) fn versions(
        &mut self,
        directory: &Directory,
        service: &str,
    ) -> Option<Rc<ServiceVersions>> {
        self.latch(directory, &service.into());
        self.rollouts.versions(service).cloned()
    }

    /// Returns how the next request to a service uses the version that is being rolled out.
    pub(crate) fn canary_choice(
        &mut self,
        now: Instant,
        directory: &Directory,
        service: &str,
    ) -> CanaryChoice {
        let Some(status) = self.running(now, service) else {
            return CanaryChoice::Avoided;
        };
        let has_token = self.limiter(&status.order).has_token();
        let share = self.applied_share(&status);
        let stable_count = self.stable_count(now, directory, &status.order.service);
        RolloutPlan::canary_choice(status.age, share, stable_count, has_token)
    }

    /// Records that a request is sent to a canary, which costs a token.
    pub(crate) fn record_canary_send(&mut self, now: Instant, service: &str) {
        if let Some(status) = self.running(now, service) {
            self.limiter(&status.order).spend();
        }
    }

    /// Records how a request to a service ended. One that reached a target earns a share of a token. The token of one
    /// that didn't reach the canary is given back.
    pub(crate) fn record_send_result(
        &mut self,
        now: Instant,
        service: &str,
        reached_target: bool,
        is_unspent: bool,
    ) {
        let Some(status) = self.running(now, service) else {
            return;
        };
        let share = self.applied_share(&status);
        let limiter = self.limiter(&status.order);
        if reached_target {
            limiter.record_request(share);
        } else if is_unspent {
            limiter.give_back();
        }
    }

    fn limiter(&mut self, order: &RolloutOrder) -> &mut ExposureLimiter {
        let new = || OrderLimiter {
            limiter: ExposureLimiter::new(fastrand::f64()),
            order: order.clone(),
        };
        let known = self
            .limiters
            .entry(order.service.clone())
            .or_insert_with(new);
        if !known.order.is_same(order) {
            *known = new();
        }
        &mut known.limiter
    }

    /// Returns the share that this entry applies: while the verdict is open, no more than the settings allow.
    fn applied_share(&self, status: &RolloutStatus) -> u16 {
        if status.share_per_mille > RolloutPlan::OBSERVE_SHARE_PER_MILLE {
            return status.share_per_mille;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = (self.settings.expose_share * EXPOSURE_MARGIN * 1_000.0) as u16;
        status.share_per_mille.min(allowed)
    }

    fn stable_count(&mut self, now: Instant, directory: &Directory, service: &Rc<str>) -> usize {
        if let Some((at, count)) = self.stable_counts.get(service)
            && now.saturating_duration_since(*at) < STABLE_COUNT_MAX_AGE
        {
            return *count;
        }
        let is_stable = |target: &&TargetRecord| {
            self.rollouts.admits(service, &target.version) == VersionUse::Stable
        };
        let count = usable_targets(now, directory, service)
            .filter_map(|peer| peer.record().target.as_ref())
            .filter(is_stable)
            .count();
        self.stable_counts.insert(service.clone(), (now, count));
        count
    }

    /// Counts a run at the own target.
    pub(crate) fn record_run(
        &mut self,
        target: &TargetRecord,
        route: RouteKey,
        run_time: Duration,
        failed: bool,
    ) {
        let evidence = self.own_evidence.get_or_insert_with(|| no_runs_of(target));
        if !is_of_target(evidence, target) {
            *evidence = no_runs_of(target);
        }
        evidence.record(route, run_time, failed);
    }

    /// Returns the evidence of the own target, while its service has a running order. A target that ran nothing yet
    /// has evidence without runs, which shows that its gate was heard.
    pub(crate) fn evidence_of(
        &self,
        now: Instant,
        target: Option<&TargetRecord>,
    ) -> Option<TargetEvidence> {
        let target = target?;
        self.running(now, &target.service)?;
        let own = self.own_evidence.as_ref();
        let known = own.filter(|own| is_of_target(own, target)).cloned();
        Some(known.unwrap_or_else(|| no_runs_of(target)))
    }

    /// Adds what a gate reported of its target to the evidence on a running order.
    pub(crate) fn learn_evidence(
        &mut self,
        now: Instant,
        service: &Rc<str>,
        reported: &TargetEvidence,
    ) {
        if let Some(status) = self.running(now, service) {
            self.case(now, &status).evidence.learn(now, reported);
        }
    }

    fn case(&mut self, now: Instant, status: &RolloutStatus) -> &mut RolloutCase {
        let order = &status.order;
        let settings = self.settings;
        let new = || RolloutCase {
            evidence: RolloutEvidence::new(now, status.age, order.to.clone()),
            judge: RolloutJudge::new(&settings),
            order: order.clone(),
            verdict: RolloutVerdict::Open(OpenReason::ThinSample),
        };
        let known = self.cases.entry(order.service.clone()).or_insert_with(new);
        if !known.order.is_same(order) {
            *known = new();
        }
        known
    }

    /// Returns the numbers of runs and failures of the new and of the other versions, and the verdict on the new
    /// one, as far as this daemon heard of them.
    pub(crate) fn findings(&self, service: &str) -> Option<([(u64, u64); 2], RolloutVerdict)> {
        let case = self.cases.get(service)?;
        Some((case.evidence.totals(), case.verdict))
    }

    /// Records the shares that a daemon reports to apply.
    pub(crate) fn record_peer_shares(&mut self, address: SocketAddr, reported: &[RolloutStatus]) {
        let shares = reported
            .iter()
            .filter(|status| status.state == RolloutState::Running)
            .map(|status| (status.order.clone(), status.share_per_mille));
        let shares: Vec<_> = shares.collect();
        if shares.is_empty() {
            self.peer_shares.remove(&address);
        } else {
            self.peer_shares.insert(address, shares);
        }
    }

    /// Records how long a daemon makes no decisions.
    pub(crate) fn record_settling(
        &mut self,
        now: Instant,
        address: SocketAddr,
        decides_in: Duration,
    ) {
        match now.checked_add(decides_in) {
            Some(until) if !decides_in.is_zero() => {
                self.settling_until.insert(address, until);
            }
            Some(_) | None => {
                self.settling_until.remove(&address);
            }
        }
    }

    /// Returns whether a daemon makes no decisions by its latest report.
    pub(crate) fn is_settling(&self, now: Instant, address: SocketAddr) -> bool {
        let until = self.settling_until.get(&address);
        until.is_some_and(|until| now < *until)
    }

    /// Forgets what belongs to daemons and orders that are gone.
    pub(crate) fn clean_up(&mut self, now: Instant, directory: &Directory) {
        let running = self.all_running(now);
        let is_running = |service: &Rc<str>| {
            let mut orders = running.iter().map(|status| &status.order.service);
            orders.any(|other| other == service)
        };
        self.limiters.retain(|service, _| is_running(service));
        self.stable_counts.retain(|service, _| is_running(service));
        self.settling_until.retain(|_, until| now < *until);
        self.peer_shares
            .retain(|address, _| !running.is_empty() && directory.peer(*address).is_some());
        // The findings on an ended order stay for operators until the next one of the service.
    }

    /// Returns what the decider is to do next about a running order.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        directory: &Directory,
        own_address: SocketAddr,
        status: &RolloutStatus,
    ) -> RolloutStep {
        let order = &status.order;
        let applies_whole_share = |address: &SocketAddr| {
            let shares = self.peer_shares.get(address);
            shares.into_iter().flatten().any(|(other, share)| {
                other.is_same(order) && *share >= RolloutPlan::WHOLE_SHARE_PER_MILLE
            })
        };
        let all_apply_whole_share = status.share_per_mille >= RolloutPlan::WHOLE_SHARE_PER_MILLE
            && directory
                .peers()
                .filter(|(address, _)| directory.is_alive(now, **address))
                .all(|(address, _)| *address == own_address || applies_whole_share(address));
        let (mut canary_slots, mut load_slots) = (0_u32, 0_u32);
        for peer in usable_targets(now, directory, &order.service) {
            let record = peer.record();
            load_slots = load_slots
                .saturating_add(record.load.running_count)
                .saturating_add(record.load.waiting_count(u32::MAX));
            let target = record.target.as_ref();
            if let Some(target) = target.filter(|target| target.version == order.to) {
                canary_slots = canary_slots.saturating_add(target.slots);
            }
        }
        let raised_at = self.rollouts.share_raised_at(&order.service);
        let share_age = raised_at.map_or(status.age, |at| now.saturating_duration_since(at));
        let case = self.case(now, status);
        case.verdict = case.judge.judge(now, &case.evidence);
        let canary_runs = case.evidence.canary_runs();
        let requests_per_s = case.evidence.requests_per_s(now);
        let evidence_age = case.evidence.age(now);
        let verdict = case.verdict;
        RolloutPlan::new(order.duration, self.settings).step(&RolloutProgress {
            age: status.age,
            all_apply_whole_share,
            canary_runs,
            canary_slots,
            evidence_age,
            load_slots,
            requests_per_s,
            share_age,
            share_per_mille: status.share_per_mille,
            verdict,
        })
    }
}

fn is_of_target(evidence: &TargetEvidence, target: &TargetRecord) -> bool {
    evidence.target_id == target.id
        && evidence.born_ms == target.born_ms
        && evidence.version == target.version
}

fn no_runs_of(target: &TargetRecord) -> TargetEvidence {
    TargetEvidence::new(target.id.clone(), target.born_ms, target.version.clone())
}

/// Returns the daemons whose targets of a service may be used, whatever their versions.
pub(crate) fn usable_targets<'a>(
    now: Instant,
    directory: &'a Directory,
    service: &'a str,
) -> impl Iterator<Item = &'a Peer> {
    let offers_target = move |peer: &Peer| {
        let target = peer.record().target.as_ref();
        peer.offers_target() && target.is_some_and(|target| *target.service == *service)
    };
    directory
        .peers()
        .filter(move |(address, peer)| offers_target(peer) && directory.is_alive(now, **address))
        .map(|(_, peer)| peer)
}
