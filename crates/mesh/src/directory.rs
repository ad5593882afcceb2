use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    CanaryChoice, ConfirmationRole, DirectoryChange, Peer, PeerRecord, TargetChoice, TargetQuery,
    TargetRecord, VersionUse,
};

/// The cost of a target in another availability zone on top of the network delay, as a share of the target
/// latency: traffic between zones is expensive, and an answer within the target latency needn't be the fastest.
const CROSS_ZONE_COST_SHARE: f64 = 0.25;

/// The expected network round trip within an availability zone.
const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);

/// The expected network round trip between availability zones.
const CROSS_ZONE_ROUND_TRIP: Duration = Duration::from_millis(4);

/// The cost of a failed run, as a share of the target latency, since the request has to be retried.
const FAILURE_COST_SHARE: f64 = 0.3;

/// The assumed run time at a newly joined target that has run no request of the route, as a share of the fastest
/// measured run time.
const JOINING_RUN_SHARE: f64 = 0.9;

/// The additional wait at a canary, as a share of the target latency, from which on it counts as overloaded. The
/// request then goes to a stable target, so that a rollout makes no request late or refused.
const CANARY_WAIT_SHARE: f64 = 0.1;

/// How long a target counts as newly joined. Such a target is to receive its first requests within seconds.
const JOINING_PERIOD: Duration = Duration::from_secs(10);

/// The time after the first received report in which a daemon still discovers targets that are older than
/// itself; these don't count as newly joined.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// The most daemons in one batch of reports. In larger fleets a daemon sends reports to one
/// batch per interval, to each batch in turn.
const REPORT_BATCH_SIZE: usize = 40;

/// The size from which on a fleet counts as large: a daemon then reports to other availability zones in batches
/// of [`REMOTE_BATCH_SIZE`]. Its requests rarely go there, changes of its target are reported to all at once, and
/// traffic between zones is expensive.
const LARGE_FLEET_SIZE: usize = 120;

/// The most daemons of other availability zones in one batch of reports of a large fleet.
const REMOTE_BATCH_SIZE: usize = 10;

/// How long a daemon counts as alive without a received report, for each batch of reports: three reports,
/// which are sent every 500 ms, and a margin.
const SILENCE_TIMEOUT_PER_BATCH: Duration = Duration::from_millis(1_800);

/// How many daemons of an availability zone poll the store for the configuration. One would do; the second one
/// covers its loss until the others notice it.
const RELAYS_PER_ZONE: usize = 2;

/// How long a daemon relies on relays when it receives no report from any of them, before
/// it polls the store itself: one report interval and a margin. A change has to be in force two seconds after
/// it was made, and the store takes half a second to answer.
const RELAY_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// The known daemons by address, and the choice among their targets.
#[derive(Debug)]
pub struct Directory {
    availability_zone: Rc<str>,
    first_report_at: Option<Instant>,
    /// The number of daemons in the own availability zone.
    local_count: usize,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Directory {
    /// Creates the empty directory of a daemon in `availability_zone`.
    #[must_use]
    pub const fn new(availability_zone: Rc<str>) -> Self {
        Self {
            availability_zone,
            first_report_at: None,
            local_count: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Processes a report that a daemon sent about itself; returns whether the daemon is new and whether its
    /// target became usable.
    pub fn receive_report(&mut self, now: Instant, record: PeerRecord) -> DirectoryChange {
        self.first_report_at.get_or_insert(now);
        let address = record.address;
        let was_known = self.peers.contains_key(&address);
        let had_live_target = self.peer_offers_live_target(now, address);
        let peer = self
            .peers
            .entry(address)
            .or_insert_with(|| Peer::new(now, record.clone()));
        peer.receive_report(now, record);
        if !was_known {
            self.count_local();
        }
        DirectoryChange {
            daemon_added: !was_known,
            target_became_usable: !had_live_target && self.peer_offers_live_target(now, address),
        }
    }

    fn peer_offers_live_target(&self, now: Instant, address: SocketAddr) -> bool {
        self.peer(address)
            .is_some_and(|peer| self.offers_live_target(now, peer))
    }

    /// Returns whether a daemon is alive and reported a target to which requests may be sent.
    fn offers_live_target(&self, now: Instant, peer: &Peer) -> bool {
        peer.offers_target() && self.is_peer_alive(now, peer)
    }

    /// Adds a daemon from its stored record, unless it is known; returns whether it was added.
    pub fn insert_stored(&mut self, now: Instant, record: PeerRecord) -> bool {
        let was_known = self.peers.contains_key(&record.address);
        if !was_known {
            self.peers.insert(record.address, Peer::new(now, record));
            self.count_local();
        }
        !was_known
    }

    /// Returns what is known of a daemon, to be changed; none if it isn't in the directory.
    pub fn peer_mut(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.peers.get_mut(&address)
    }

    /// Returns what is known of a daemon; none if it isn't in the directory.
    #[must_use]
    pub fn peer(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// Returns the number of batches in which reports are sent to the daemons of the own availability zone, or to
    /// the others; at least 1.
    #[must_use]
    pub fn report_batch_count(&self, is_local: bool) -> usize {
        let count = self.peers.len();
        let batch_count = if count < LARGE_FLEET_SIZE {
            count.div_ceil(REPORT_BATCH_SIZE)
        } else if is_local {
            self.local_count.div_ceil(REPORT_BATCH_SIZE)
        } else {
            (count - self.local_count).div_ceil(REMOTE_BATCH_SIZE)
        };
        batch_count.max(1)
    }

    /// Returns the time without a report after which a daemon of the own availability zone, or another one, counts
    /// as silent.
    #[must_use]
    pub fn silence_timeout(&self, is_local: bool) -> Duration {
        let batch_count = self.report_batch_count(is_local);
        SILENCE_TIMEOUT_PER_BATCH * u32::try_from(batch_count).unwrap_or(u32::MAX)
    }

    /// Returns whether a daemon is known and alive.
    #[must_use]
    pub fn is_alive(&self, now: Instant, address: SocketAddr) -> bool {
        self.peer(address)
            .is_some_and(|peer| self.is_peer_alive(now, peer))
    }

    fn is_peer_alive(&self, now: Instant, peer: &Peer) -> bool {
        peer.is_alive(now, self.silence_timeout(self.is_local(peer)))
    }

    /// Records that a call didn't reach a daemon, which then counts as not alive until its next report, or for
    /// the silence timeout.
    pub fn mark_unreachable(&mut self, now: Instant, address: SocketAddr) {
        let Some(peer) = self.peer(address) else {
            return;
        };
        let silence_timeout = self.silence_timeout(self.is_local(peer));
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.mark_unreachable(now, silence_timeout);
        }
    }

    /// Returns all known daemons with their addresses, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.peers.iter()
    }

    /// Removes the daemons that sent no report for `max_silence`; keeps those that never reported.
    pub fn remove_silent(&mut self, now: Instant, max_silence: Duration) {
        self.peers.retain(|_, peer| {
            peer.silent_for(now)
                .is_none_or(|silent| silent < max_silence)
        });
        self.count_local();
    }

    fn count_local(&mut self) {
        let local = self.peers.values().filter(|peer| self.is_local(peer));
        self.local_count = local.count();
    }

    /// Returns whether a daemon is in the own availability zone.
    #[must_use]
    pub fn is_local(&self, peer: &Peer) -> bool {
        peer.record().availability_zone == self.availability_zone
    }

    /// Returns the number of daemons that are alive, including this one, whose own reports are entered as well.
    #[must_use]
    pub fn alive_count(&self, now: Instant) -> usize {
        self.alive_peers(now).count().max(1)
    }

    /// Returns the newest configuration version that an alive daemon reported; 0 if there is none.
    #[must_use]
    pub fn newest_config_version(&self, now: Instant) -> u64 {
        let alive = self.alive_peers(now);
        alive
            .map(|peer| peer.record().config_version)
            .max()
            .unwrap_or_default()
    }

    /// Returns an alive daemon that has a newer configuration than `own_version` and isn't in `already_asked`.
    ///
    /// Prefers relays, then daemons in the own availability zone; picks at random among equals.
    #[must_use]
    pub fn config_holder(
        &self,
        now: Instant,
        own_version: u64,
        already_asked: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let newer = self.alive_peers(now).map(Peer::record).filter(|record| {
            record.config_version > own_version && !already_asked.contains(&record.address)
        });
        let best = newer.max_by_key(|record| {
            let same_zone = record.availability_zone == self.availability_zone;
            (record.relays_config, same_zone, fastrand::u32(..))
        });
        best.map(|record| record.address)
    }

    /// Returns whether the daemon at `address` is one of those that poll the store for the configuration: the first
    /// ones by address of the alive daemons in its availability zone whose links are fast enough.
    ///
    /// All daemons of a zone compute this for themselves. While their views differ there may be more relays.
    #[must_use]
    pub fn is_elected_relay(&self, now: Instant, address: SocketAddr) -> bool {
        let candidates = self.alive_peers(now).map(Peer::record).filter(|record| {
            record.can_relay_config && record.availability_zone == self.availability_zone
        });
        let before = candidates.filter(|record| record.address < address);
        before.take(RELAYS_PER_ZONE).count() < RELAYS_PER_ZONE
    }

    /// Returns whether the relay at `address` is the first one by address of the alive relays of all availability zones.
    #[must_use]
    pub fn is_lead_relay(&self, now: Instant, address: SocketAddr) -> bool {
        let relays = self
            .alive_peers(now)
            .map(Peer::record)
            .filter(|record| record.relays_config);
        relays.map(|record| record.address).min() == Some(address)
    }

    /// Returns whom the daemon at `own_address` gets its confirmations from.
    #[must_use]
    pub fn confirmation_role(
        &self,
        now: Instant,
        own_address: SocketAddr,
        is_elected_relay: bool,
    ) -> ConfirmationRole {
        if self.confirmation_lead(now) == Some(own_address) {
            ConfirmationRole::Lead
        } else if is_elected_relay {
            ConfirmationRole::Relay
        } else {
            ConfirmationRole::Follower
        }
    }

    /// Returns the daemon whose feed from the store confirms the configuration for all: the lead relay, or the first
    /// alive daemon where there is no relay.
    fn confirmation_lead(&self, now: Instant) -> Option<SocketAddr> {
        let alive = || self.alive_peers(now).map(Peer::record);
        let relays = alive().filter(|record| record.relays_config);
        let addresses = relays.map(|record| record.address);
        addresses
            .min()
            .or_else(|| alive().map(|record| record.address).min())
    }

    /// Returns the daemon that the one at `own_address` asks for a confirmation: the lead as a relay, a relay of the
    /// own availability zone or another one as a follower, and any relay if it is late.
    #[must_use]
    pub fn confirmation_peer(
        &self,
        now: Instant,
        own_address: SocketAddr,
        role: ConfirmationRole,
        is_late: bool,
    ) -> Option<SocketAddr> {
        let lead = self
            .confirmation_lead(now)
            .filter(|lead| *lead != own_address);
        if role == ConfirmationRole::Relay && !is_late {
            return lead;
        }
        let relays = self
            .alive_peers(now)
            .filter(|peer| peer.record().relays_config && peer.record().address != own_address);
        let best = relays.max_by_key(|peer| {
            let is_preferred = !is_late && self.is_local(peer);
            (is_preferred, fastrand::u32(..))
        });
        best.map(|peer| peer.record().address).or(lead)
    }

    /// Returns whether any daemon that relays the configuration sent a report within the relay silence timeout.
    #[must_use]
    pub fn has_recent_relay(&self, now: Instant) -> bool {
        self.peers.values().any(|peer| {
            let silent = peer.silent_for(now);
            peer.record().relays_config
                && silent.is_some_and(|silent| silent < RELAY_SILENCE_TIMEOUT)
        })
    }

    /// Returns whether a daemon gets the configuration from this one, if this one is a relay. Relays get it from the
    /// store. Other daemons get it from the relays of their availability zone, or from all relays if their zone has
    /// none.
    ///
    /// A relay reports to its followers at every report interval, and to other daemons only with their batch.
    #[must_use]
    pub fn is_follower(&self, now: Instant, address: SocketAddr) -> bool {
        let Some(follower) = self.peer(address).map(Peer::record) else {
            return false;
        };
        let zone = &follower.availability_zone;
        let has_relay = || {
            self.alive_peers(now)
                .any(|peer| peer.record().relays_config && peer.record().availability_zone == *zone)
        };
        !follower.relays_config && (*zone == self.availability_zone || !has_relay())
    }

    fn alive_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| self.is_peer_alive(now, peer))
    }

    /// Returns the number of usable targets of a service: ready ones whose daemons are alive and serving.
    #[must_use]
    pub fn usable_target_count(&self, now: Instant, service: &str) -> usize {
        self.peers
            .values()
            .filter(|peer| self.is_usable(now, peer, service))
            .count()
    }

    /// Chooses the target with the lowest cost: the expected time to an answer, and penalties for traffic between
    /// zones and for recent failures.
    ///
    /// `max_wait` of the choice is the wait at which this target costs as much as the second best one, plus two
    /// round trips between zones for moving the request there. Returns none if no target is usable, or all usable
    /// ones are excluded.
    ///
    /// Where the query names versions, only targets of those that it allows are chosen
    /// (docs/design/rollouts-and-tenants.md, section 2).
    #[must_use]
    pub fn choose(&self, now: Instant, query: &TargetQuery) -> Option<TargetChoice> {
        if query.versions.is_none() {
            return self.choose_among(now, query, |_| true);
        }
        let stable = || self.choose_of_use(now, query, VersionUse::Stable);
        let canary = match query.canary {
            CanaryChoice::Avoided => return stable(),
            CanaryChoice::Concentrated { count, turn } => {
                let in_turn = self.canaries_in_turn(now, query, count, turn);
                self.choose_among(now, query, |peer| in_turn.contains(&peer.record().address))
            }
            CanaryChoice::Preferred => {
                return self
                    .choose_of_use(now, query, VersionUse::Canary)
                    .or_else(stable);
            }
            CanaryChoice::Spread => self.choose_of_use(now, query, VersionUse::Canary),
        };
        let Some(stable) = stable() else {
            return canary;
        };
        let canary_wait = query.target_latency.mul_f64(CANARY_WAIT_SHARE);
        let wait_limit = stable.expected_wait + canary_wait;
        let canary = canary.filter(|canary| canary.expected_wait <= wait_limit);
        canary.map_or(Some(stable), |canary| {
            // A request that waits longer than was expected goes to a stable target.
            let max_wait = wait_limit + CROSS_ZONE_ROUND_TRIP * 2;
            Some(TargetChoice {
                max_wait: Some(canary.max_wait.map_or(max_wait, |it| it.min(max_wait))),
                ..canary
            })
        })
    }

    /// Returns the daemons of the canaries that are in use in this turn, in an order that is the same at all daemons.
    fn canaries_in_turn(
        &self,
        now: Instant,
        query: &TargetQuery,
        count: usize,
        turn: u64,
    ) -> Vec<SocketAddr> {
        let usable: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| {
                self.is_usable(now, peer, query.service)
                    && version_use(peer, query) == VersionUse::Canary
            })
            .map(|peer| peer.record().address)
            .collect();
        let turn = usize::try_from(turn).unwrap_or_default();
        let skipped = turn.wrapping_mul(count) % usable.len().max(1);
        let in_turn = usable.iter().cycle().skip(skipped);
        in_turn.take(count.min(usable.len())).copied().collect()
    }

    fn choose_of_use(
        &self,
        now: Instant,
        query: &TargetQuery,
        wanted: VersionUse,
    ) -> Option<TargetChoice> {
        self.choose_among(now, query, |peer| version_use(peer, query) == wanted)
    }

    /// Chooses the target with the lowest cost among those of the daemons that `is_allowed` returns true for.
    fn choose_among(
        &self,
        now: Instant,
        query: &TargetQuery,
        is_allowed: impl Fn(&Peer) -> bool,
    ) -> Option<TargetChoice> {
        let mut best: Option<(Duration, Duration, &Peer)> = None;
        let mut second_cost: Option<Duration> = None;
        for peer in self.peers.values().filter(|peer| is_allowed(peer)) {
            let Some((cost, wait)) = self.cost(now, peer, query) else {
                continue;
            };
            // Spreads the requests among targets of almost the same cost.
            let jitter = Duration::from_micros(fastrand::u64(..500));
            let cost = cost + jitter;
            match best {
                Some((best_cost, ..)) if best_cost <= cost => {
                    second_cost = Some(second_cost.map_or(cost, |other| other.min(cost)));
                }
                _ => {
                    second_cost = best.map(|(best_cost, ..)| best_cost).or(second_cost);
                    best = Some((cost, wait, peer));
                }
            }
        }
        let (cost, wait, peer) = best?;
        let record = peer.record();
        let target = record.target.as_ref()?;
        Some(TargetChoice {
            address: record.address,
            is_canary: version_use(peer, query) == VersionUse::Canary,
            target_id: target.id.clone(),
            max_wait: second_cost.map(|second_cost| {
                second_cost.saturating_sub(cost) + wait + CROSS_ZONE_ROUND_TRIP * 2
            }),
            expected_wait: wait,
        })
    }

    /// Returns whether a target joined recently, and after this daemon had discovered the existing fleet.
    fn has_joined_recently(&self, now: Instant, peer: &Peer) -> bool {
        let startup_end = self.first_report_at.unwrap_or(now) + STARTUP_PERIOD;
        let joined_at = peer.target_since();
        joined_at > startup_end && now.saturating_duration_since(joined_at) < JOINING_PERIOD
    }

    /// Returns the assumed run time at a newly joined target: slightly less than at the fastest one, so that it
    /// gets a first request. Otherwise it would receive none while the known targets have free slots.
    fn assumed_joining_run_time(&self, now: Instant, query: &TargetQuery) -> Duration {
        let mean_run_times = self
            .peers
            .values()
            .filter(|peer| self.is_usable(now, peer, query.service))
            .filter_map(|peer| peer.mean_run_time(query.route));
        let fastest = mean_run_times
            .min()
            .map(|run| run.mul_f64(JOINING_RUN_SHARE));
        fastest.map_or(query.assumed_run_time, |run| {
            run.min(query.assumed_run_time)
        })
    }

    /// Returns the cost of a target, which is the expected time to an answer with all penalties, and the expected
    /// wait at its gate, which is part of the cost; none if the target can't be chosen.
    fn cost(&self, now: Instant, peer: &Peer, query: &TargetQuery) -> Option<(Duration, Duration)> {
        let record = peer.record();
        if !self.is_usable(now, peer, query.service)
            || query.excluded_daemons.contains(&record.address)
        {
            return None;
        }
        // A newly joined target is preferred for one request at a time until its run time is measured.
        let assumed_run_time = if peer.in_flight == 0 && self.has_joined_recently(now, peer) {
            self.assumed_joining_run_time(now, query)
        } else {
            query.assumed_run_time
        };
        let run_time = peer.expected_run_time(query.route, assumed_run_time);
        let wait = peer.expected_wait(now, query.rank, query.is_call, run_time);
        let network_cost = if self.is_local(peer) {
            SAME_ZONE_ROUND_TRIP
        } else {
            CROSS_ZONE_ROUND_TRIP + query.target_latency.mul_f64(CROSS_ZONE_COST_SHARE)
        };
        let failure_cost = query
            .target_latency
            .mul_f64(peer.failure_rate() * FAILURE_COST_SHARE);
        let link_cost = if query.is_download {
            peer.expected_link_time(now)
        } else {
            Duration::ZERO
        };
        Some((
            run_time + wait + network_cost + failure_cost + link_cost,
            wait,
        ))
    }

    fn is_usable(&self, now: Instant, peer: &Peer, service: &str) -> bool {
        let of_service = |target: &TargetRecord| *target.service == *service;
        peer.record().target.as_ref().is_some_and(of_service) && self.offers_live_target(now, peer)
    }
}

/// Returns what the versions of the query allow the target of a daemon to be used for.
fn version_use(peer: &Peer, query: &TargetQuery) -> VersionUse {
    match (query.versions, &peer.record().target) {
        (Some(versions), Some(target)) => versions.use_of(&target.version),
        (Some(_), None) => VersionUse::Excluded,
        (None, _) => VersionUse::Stable,
    }
}
