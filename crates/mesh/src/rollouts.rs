use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    RolloutOrder, RolloutOrderError, RolloutPlan, RolloutState, RolloutStatus, ServiceVersions,
    StorePosition, VersionUse,
};

/// How long after its deadline an order is reported.
const REPORT_PERIOD: Duration = Duration::from_secs(30);

/// What a daemon knows of rollouts and of the versions in use.
///
/// See `docs/design/rollouts-and-tenants.md`, section 2.
#[derive(Debug, Default)]
pub struct Rollouts {
    services: BTreeMap<Rc<str>, Service>,
}

#[derive(Debug, Default)]
struct Service {
    /// The version in use outside a rollout, once it is latched.
    in_use: Option<Rc<str>>,
    latest: Option<Rollout>,
    /// An order that was refused, since it is read again with the table.
    refused: Option<RolloutOrder>,
    /// The versions that were rolled back.
    rolled_back: Vec<Rc<str>>,
    /// The status row as it was last read or written.
    stored: Option<StoredStatus>,
    /// What follows from the other fields.
    versions: Rc<ServiceVersions>,
}

#[derive(Debug)]
struct Rollout {
    /// The lowest position at which the order was read, which is below that of its status row.
    first_position: StorePosition,
    is_stored: bool,
    order: RolloutOrder,
    share_per_mille: u16,
    share_raised_at: Option<Instant>,
    started_at: Instant,
    state: RolloutState,
}

#[derive(Debug)]
struct StoredStatus {
    position: StorePosition,
    state: RolloutState,
    to: Rc<str>,
}

impl Rollouts {
    /// The most statuses in a report, which bounds the size of the datagram.
    pub const MAX_REPORTED: usize = 4;

    /// Applies an order that was read in the store; returns whether it is a new one.
    ///
    /// Of an answer of the store that contains both, the status rows are to be learnt before the orders, since they
    /// tell which orders are outdated.
    ///
    /// # Errors
    ///
    /// Returns why the order isn't followed. An order that was refused before is refused again.
    pub fn learn_order(
        &mut self,
        now: Instant,
        order: RolloutOrder,
    ) -> Result<bool, RolloutOrderError> {
        let service = self.services.entry(order.service.clone()).or_default();
        if let Some(latest) = &mut service.latest
            && latest.order.is_same(&order)
        {
            latest.order.position = latest.order.position.max(order.position);
            latest.first_position = latest.first_position.min(order.position);
            return Ok(false);
        }
        if let Err(error) = service.check(&order) {
            service.refused = Some(order);
            return Err(error);
        }
        service.latest = Some(Rollout::new(now, order));
        service.apply_stored();
        service.update_versions();
        Ok(true)
    }

    /// Applies a status row that was read in the store or written to it; returns whether a verdict changed.
    pub fn learn_status(
        &mut self,
        now: Instant,
        service: &Rc<str>,
        to: &Rc<str>,
        state: RolloutState,
        position: StorePosition,
    ) -> bool {
        let service = self.services.entry(service.clone()).or_default();
        let is_outdated = service
            .stored
            .as_ref()
            .is_some_and(|stored| position < stored.position);
        if is_outdated {
            return false;
        }
        service.stored = Some(StoredStatus {
            position,
            state,
            to: to.clone(),
        });
        let has_changed = service.apply_stored();
        if let Some(latest) = &mut service.latest
            && has_changed
            && latest.state == RolloutState::Completed
        {
            latest.share_raised_at = Some(now);
        }
        service.update_versions();
        has_changed
    }

    /// Records that a read of the whole table found no status row of the service.
    pub fn learn_missing_status(&mut self, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.stored = None;
            service.update_versions();
        }
    }

    /// Applies what another daemon knows of an order; returns whether the order, its state or its share changed, so
    /// that all daemons are to be told.
    ///
    /// Of two orders the one at the higher position wins. Of one order the state of the higher rank, the greater age
    /// and the greater share win, so that statuses have the same result in any order.
    pub fn merge(&mut self, now: Instant, status: &RolloutStatus) -> bool {
        let key = &status.order.service;
        let service = self.services.entry(key.clone()).or_default();
        let has_changed = match &mut service.latest {
            Some(latest) if latest.order.is_same(&status.order) => latest.merge(now, status),
            Some(latest) if latest.order.position >= status.order.position => false,
            Some(_) | None => {
                let mut rollout = Rollout::new(now, status.order.clone());
                rollout.merge(now, status);
                service.latest = Some(rollout);
                service.apply_stored();
                true
            }
        };
        service.update_versions();
        has_changed
    }

    /// Records that the decider rolls back the running order of a service, which is told before it is written;
    /// returns whether an order was running.
    pub fn roll_back(&mut self, service: &str) -> bool {
        let Some(service) = self.services.get_mut(service) else {
            return false;
        };
        let has_changed = service
            .latest
            .as_mut()
            .is_some_and(|latest| latest.raise_state(RolloutState::RolledBack, false));
        service.update_versions();
        has_changed
    }

    /// Raises the share of a running order; returns whether it changed.
    pub fn raise_share(&mut self, now: Instant, service: &str, share_per_mille: u16) -> bool {
        let latest = self.services.get_mut(service);
        latest
            .and_then(|service| service.latest.as_mut())
            .is_some_and(|latest| latest.raise_share(now, share_per_mille))
    }

    /// Latches the version in use of a service when its targets are first known, unless it is latched. The targets
    /// are the usable ones, as pairs of version and start in Unix milliseconds.
    ///
    /// The version of most targets is latched; of several ones, that of the earliest start. A version that is being
    /// rolled out, or was rolled back, isn't latched.
    pub fn latch<'a>(
        &mut self,
        service: &Rc<str>,
        targets: impl Iterator<Item = (&'a Rc<str>, u64)>,
    ) {
        let service = self.services.entry(service.clone()).or_default();
        if service.in_use.is_some() {
            return;
        }
        let mut counts: BTreeMap<&Rc<str>, (usize, u64)> = BTreeMap::new();
        for (version, born_ms) in targets {
            if service.versions.use_of(version) == VersionUse::Stable {
                let (count, first_born_ms) = counts.entry(version).or_insert((0, u64::MAX));
                *count += 1;
                *first_born_ms = born_ms.min(*first_born_ms);
            }
        }
        let most = counts
            .into_iter()
            .max_by_key(|(_, (count, born_ms))| (*count, std::cmp::Reverse(*born_ms)));
        service.in_use = most.map(|(version, _)| version.clone());
        service.update_versions();
    }

    /// Returns what targets of a version may be used for. All versions of an unknown service are stable.
    #[must_use]
    pub fn admits(&self, service: &str, version: &str) -> VersionUse {
        self.versions(service)
            .map_or(VersionUse::Stable, |versions| versions.use_of(version))
    }

    /// Returns which versions of a service may get requests; none if nothing is known of them.
    #[must_use]
    pub fn versions(&self, service: &str) -> Option<&Rc<ServiceVersions>> {
        self.services.get(service).map(|service| &service.versions)
    }

    /// Returns the status of a service's latest order.
    #[must_use]
    pub fn status(&self, now: Instant, service: &str) -> Option<RolloutStatus> {
        let latest = self.services.get(service)?.latest.as_ref()?;
        Some(latest.status(now))
    }

    /// Returns when the share of a service's latest order was raised; none if it wasn't.
    #[must_use]
    pub fn share_raised_at(&self, service: &str) -> Option<Instant> {
        self.services.get(service)?.latest.as_ref()?.share_raised_at
    }

    /// Returns the statuses that belong into a report: the newest ones first, of orders whose deadline was less than
    /// 30 s ago.
    #[must_use]
    pub fn to_report(&self, now: Instant) -> Vec<RolloutStatus> {
        let mut statuses = self.statuses(now);
        statuses.retain(|status| status.age < status.order.duration.saturating_add(REPORT_PERIOD));
        statuses.sort_by_key(|status| status.age);
        statuses.truncate(Self::MAX_REPORTED);
        statuses
    }

    /// Returns the statuses of the latest orders of all services, for logs and state dumps.
    #[must_use]
    pub fn statuses(&self, now: Instant) -> Vec<RolloutStatus> {
        let latest = self.services.values().filter_map(|it| it.latest.as_ref());
        latest.map(|latest| latest.status(now)).collect()
    }

    /// Returns whether the store's status row of the service doesn't say what is known, so that the decider has to
    /// write it: before the first `running`, for a verdict, and after the store lost one.
    #[must_use]
    pub fn needs_write(&self, service: &str) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        service.latest.as_ref().is_some_and(|latest| {
            service.stored.as_ref().is_none_or(|stored| {
                stored.to != latest.order.to
                    || stored.state != latest.state
                    || !latest.is_answered_by(stored)
            })
        })
    }
}

impl Service {
    /// Checks an order that differs from the latest one.
    fn check(&self, order: &RolloutOrder) -> Result<(), RolloutOrderError> {
        // A read in a later era names the same version of an unchanged row.
        let is_refused_row = self.refused.as_ref().is_some_and(|refused| {
            refused.is_same(order)
                && (order.position <= refused.position
                    || order.position.version == refused.position.version)
        });
        if let Some(latest) = &self.latest {
            let to = || latest.order.to.to_string();
            if latest.state == RolloutState::Running {
                return Err(RolloutOrderError::AnotherRunning(to()));
            }
            if is_refused_row || order.position <= latest.order.position {
                return Err(RolloutOrderError::Outdated(to()));
            }
        }
        match &self.stored {
            Some(stored) if stored.to != order.to => {
                let to = || stored.to.to_string();
                if stored.state == RolloutState::Running && self.latest.is_none() {
                    Err(RolloutOrderError::AnotherRunning(to()))
                } else if stored.position > order.position {
                    // The order was given while the other one was running.
                    Err(RolloutOrderError::Outdated(to()))
                } else {
                    Ok(())
                }
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Applies the verdict of the status row to the order that it belongs to; returns whether its state changed.
    fn apply_stored(&mut self) -> bool {
        let Some(stored) = &self.stored else {
            return false;
        };
        self.latest.as_mut().is_some_and(|latest| {
            latest.is_answered_by(stored) && latest.raise_state(stored.state, true)
        })
    }

    /// Derives which versions may get requests.
    fn update_versions(&mut self) {
        let known = match (&self.latest, &self.stored) {
            (Some(latest), _) => Some((&latest.order.to, latest.state)),
            (None, Some(stored)) => Some((&stored.to, stored.state)),
            (None, None) => None,
        };
        let mut canary = None;
        let mut excluded = self.rolled_back.clone();
        if let Some((to, state)) = known {
            excluded.retain(|version| version != to);
            match state {
                RolloutState::Completed => self.in_use = Some(to.clone()),
                RolloutState::RolledBack => {
                    excluded.push(to.clone());
                    self.rolled_back.clone_from(&excluded);
                }
                // Without the order its version gets nothing.
                RolloutState::Running if self.latest.is_none() => excluded.push(to.clone()),
                RolloutState::Running => canary = Some(to.clone()),
            }
            // The version was taken for the one in use before the order was known.
            if state != RolloutState::Completed && self.in_use.as_ref() == Some(to) {
                self.in_use = None;
            }
        }
        let versions = ServiceVersions {
            canary,
            excluded,
            only: self.in_use.clone(),
        };
        if *self.versions != versions {
            self.versions = Rc::new(versions);
        }
    }
}

impl Rollout {
    fn new(now: Instant, order: RolloutOrder) -> Self {
        Self {
            first_position: order.position,
            is_stored: false,
            order,
            share_per_mille: RolloutPlan::OBSERVE_SHARE_PER_MILLE,
            share_raised_at: None,
            started_at: now,
            state: RolloutState::Running,
        }
    }

    /// Merges what another daemon knows of the same order; returns whether something changed but its age.
    fn merge(&mut self, now: Instant, status: &RolloutStatus) -> bool {
        let started_at = now.checked_sub(status.age).unwrap_or(self.started_at);
        self.started_at = self.started_at.min(started_at);
        self.order.position = self.order.position.max(status.order.position);
        let is_running = status.state == RolloutState::Running;
        let share_changed = is_running && self.raise_share(now, status.share_per_mille);
        self.raise_state(status.state, status.is_stored) || share_changed
    }

    /// Takes a state over if it outranks the known one; returns whether it does.
    fn raise_state(&mut self, state: RolloutState, is_stored: bool) -> bool {
        let outranks = rank(state, is_stored) > rank(self.state, self.is_stored);
        if outranks {
            self.state = state;
            self.is_stored = is_stored;
        }
        outranks
    }

    fn raise_share(&mut self, now: Instant, share_per_mille: u16) -> bool {
        let share_per_mille = share_per_mille.min(RolloutPlan::WHOLE_SHARE_PER_MILLE);
        let rises = self.state == RolloutState::Running && share_per_mille > self.share_per_mille;
        if rises {
            self.share_per_mille = share_per_mille;
            self.share_raised_at = Some(now);
        }
        rises
    }

    /// Returns whether a status row is about this order, and not about an earlier one to the same version.
    fn is_answered_by(&self, stored: &StoredStatus) -> bool {
        stored.to == self.order.to && stored.position > self.first_position
    }

    fn status(&self, now: Instant) -> RolloutStatus {
        RolloutStatus {
            age: now.saturating_duration_since(self.started_at),
            is_stored: self.is_stored,
            order: self.order.clone(),
            share_per_mille: match self.state {
                RolloutState::Completed => RolloutPlan::WHOLE_SHARE_PER_MILLE,
                RolloutState::RolledBack => 0,
                RolloutState::Running => self.share_per_mille,
            },
            state: self.state,
        }
    }
}

/// Returns the rank of a state of one order. Of what daemons tell each other, the way back outranks completion, since
/// it is always safe. The row of the store outranks both; completion in it is the highest, since the old targets are
/// stopped at once when it is read.
const fn rank(state: RolloutState, is_stored: bool) -> u8 {
    match (state, is_stored) {
        (RolloutState::Running, _) => 0,
        (RolloutState::Completed, false) => 1,
        (RolloutState::RolledBack, false) => 2,
        (RolloutState::RolledBack, true) => 3,
        (RolloutState::Completed, true) => 4,
    }
}
