use std::time::{Duration, Instant};

use medlarspool_calls::{AnnouncedUpstream, LoadReport};
use medlarspool_types::InstanceId;

use crate::{CallsFault, CallsGate, CallsScenario, ModelUpstream, calls_names::parse_id};

/// The factor by which a misreporting upstream overstates its slots.
const MISREPORTED_SLOTS_FACTOR: u32 = 4;
/// The factor by which the runs of a slow upstream take longer.
const SLOW_FACTOR: f64 = 10.0;
/// The factor by which runs take longer just after a cold start.
const COLD_FACTOR: f64 = 5.0;
/// How long a cold upstream takes to reach its full speed.
const WARM_UP: Duration = Duration::from_secs(5);
/// The time step at which capacity is summed over a run.
const CAPACITY_STEP: Duration = Duration::from_millis(50);

/// One upstream of the model, with its gate.
#[derive(Debug)]
pub(crate) struct CallsUpstream {
    pub(crate) gate: CallsGate,
    /// Whether nothing that is sent to the upstream is answered, because the upstream is dead or cut off.
    pub(crate) is_unreachable: bool,
    announced_slots: u32,
    /// The scenario's fault if it affects this upstream, or else [`CallsFault::None`].
    fault: CallsFault,
    /// When the fault began; `None` before that and on upstreams that it does not affect.
    fault_since: Option<Instant>,
    instance: InstanceId,
    running: u32,
    service: usize,
    spec: ModelUpstream,
    true_slots: u32,
}

impl CallsUpstream {
    pub(crate) fn for_scenario(scenario: &CallsScenario, now: Instant) -> Vec<Self> {
        let mut upstreams = Vec::new();
        for (service, service_upstreams) in scenario.deployment.services.iter().enumerate() {
            for spec in service_upstreams {
                let index = upstreams.len();
                upstreams.push(Self::new(scenario, *spec, index, service, now));
            }
        }
        upstreams
    }

    /// Makes the upstream with this index. A fault that hits one upstream of each service affects only the
    /// service's first one, and `ZoneDown` only those in zone 0.
    fn new(
        scenario: &CallsScenario,
        spec: ModelUpstream,
        index: usize,
        service: usize,
        now: Instant,
    ) -> Self {
        let is_first = scenario.deployment.services[..service]
            .iter()
            .map(Vec::len)
            .sum::<usize>()
            == index;
        let fault = match scenario.fault {
            CallsFault::ColdStartOne
            | CallsFault::Dead
            | CallsFault::Misreporting
            | CallsFault::Slow
            | CallsFault::Unreachable
                if !is_first =>
            {
                CallsFault::None
            }
            CallsFault::ZoneDown if spec.zone != 0 => CallsFault::None,
            fault => fault,
        };
        let true_slots = scenario.deployment.slots;
        let announced_slots = match fault {
            CallsFault::Misreporting => true_slots * MISREPORTED_SLOTS_FACTOR,
            _ => true_slots,
        };
        let policy = scenario.policies.queue;
        Self {
            gate: CallsGate::new(policy, &scenario.settings, announced_slots, now),
            is_unreachable: false,
            announced_slots,
            fault,
            fault_since: None,
            instance: parse_id(&format!("i{index}")),
            running: 0,
            service,
            spec,
            true_slots,
        }
    }

    pub(crate) fn instance(&self) -> &InstanceId {
        &self.instance
    }

    pub(crate) fn announced(&self) -> AnnouncedUpstream {
        AnnouncedUpstream {
            address: "127.0.0.1:1".parse().expect("the address is constant"),
            availability_zone: parse_id(&format!("z{}", self.spec.zone)),
            instance: self.instance.clone(),
            slots: self.announced_slots,
        }
    }

    pub(crate) const fn service(&self) -> usize {
        self.service
    }

    pub(crate) const fn zone(&self) -> usize {
        self.spec.zone
    }

    /// Begins the scenario's fault unless the fault affects only other upstreams.
    pub(crate) fn begin_fault(&mut self, now: Instant, fault: CallsFault) {
        if self.fault != fault {
            return;
        }
        self.fault_since = Some(now);
        self.is_unreachable = matches!(
            fault,
            CallsFault::Dead | CallsFault::Unreachable | CallsFault::ZoneDown
        );
    }

    /// Returns whether the upstream has restarted, so that entries must discard what they recorded about it.
    pub(crate) fn is_restarted(&self) -> bool {
        let is_cold = matches!(
            self.fault,
            CallsFault::ColdStartAll | CallsFault::ColdStartOne
        );
        is_cold && self.fault_since.is_some()
    }

    /// Returns the load report; a misreporting upstream claims to be idle and fast.
    pub(crate) fn load(&self, now: Instant) -> LoadReport {
        let actual = self.gate.load(now);
        if self.fault != CallsFault::Misreporting {
            return actual;
        }
        LoadReport {
            queued: 0,
            mean_run_time: Duration::from_millis(1),
            slots: actual.slots,
            slots_in_use: 0,
        }
    }

    /// Starts a run and returns how long it takes: the mean run time times the random `factor`, the slowdown of
    /// the fault and, if more requests run than there are true slots, the ratio of the two.
    pub(crate) fn start_run(&mut self, now: Instant, factor: f64) -> Duration {
        self.running += 1;
        let overcommitment_factor = f64::from(self.running) / f64::from(self.true_slots);
        let time = self.spec.run_time.mul_f64(factor * self.slowdown(now));
        time.mul_f64(overcommitment_factor.max(1.0))
    }

    pub(crate) fn end_run(&mut self) {
        self.running -= 1;
    }

    /// Returns the number of runs for which the upstream has capacity between two instants.
    pub(crate) fn runs_between(&self, from: Instant, to: Instant) -> f64 {
        let full_rate = f64::from(self.true_slots) / self.spec.run_time.as_secs_f64();
        let mut runs = 0.0;
        let mut at = from;
        while at < to {
            let is_unreachable =
                self.is_unreachable && self.fault_since.is_some_and(|since| at >= since);
            if !is_unreachable {
                runs += full_rate * CAPACITY_STEP.as_secs_f64() / self.slowdown(at);
            }
            at += CAPACITY_STEP;
        }
        runs
    }

    /// Returns the factor by which runs take longer at an instant than without a fault.
    fn slowdown(&self, now: Instant) -> f64 {
        let Some(since) = self.fault_since else {
            return 1.0;
        };
        let warm_share = now.saturating_duration_since(since).as_secs_f64() / WARM_UP.as_secs_f64();
        match self.fault {
            CallsFault::ColdStartAll | CallsFault::ColdStartOne => {
                (COLD_FACTOR - (COLD_FACTOR - 1.0) * warm_share).max(1.0)
            }
            CallsFault::Slow => SLOW_FACTOR,
            _ => 1.0,
        }
    }
}
