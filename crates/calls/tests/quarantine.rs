//! Requests that crash their upstream: at most two crashes, and no harm to the innocent.

use std::time::{Duration, Instant};

use medlarspool_calls::{
    CallSettings, CrashId, CrashPublication, Fingerprint, Quarantine, QuarantineCheck,
    QuarantineNotice,
};
use medlarspool_types::InstanceId;
use proptest::prelude::*;

const CULPRIT: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

fn instance(number: usize) -> InstanceId {
    format!("i{number}").parse().unwrap()
}

struct Fleet {
    crashes: u64,
    gates: Vec<Quarantine>,
    instances: Vec<InstanceId>,
    now: Instant,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let instances: Vec<InstanceId> = (0..size).map(instance).collect();
        let settings = CallSettings::default();
        let gates = instances
            .iter()
            .map(|own| Quarantine::new(&settings, own.clone()));
        Self {
            crashes: 0,
            gates: gates.collect(),
            instances,
            now: Instant::now(),
        }
    }

    fn check(&self, gate: usize, fingerprint: Fingerprint) -> QuarantineCheck {
        self.gates[gate].check(self.now, fingerprint, &self.instances)
    }

    /// Crashes a gate's upstream while it runs these, and tells the other gates.
    fn crash(&mut self, gate: usize, running: &[Fingerprint]) {
        let crash = CrashId {
            instance: self.instances[gate].clone(),
            number: self.crashes,
        };
        self.crashes += 1;
        let notice = self.gates[gate].record_crash(self.now, crash, running);
        self.tell(&notice);
        for fingerprint in running {
            assert_eq!(self.gates[gate].finish(self.now, *fingerprint, false), None);
        }
    }

    fn tell(&mut self, notice: &QuarantineNotice) {
        for gate in &mut self.gates {
            gate.receive(self.now, notice);
        }
    }

    /// Sends a request that crashes what runs it; returns whether it ran.
    fn send_culprit(&mut self, gate: usize) -> bool {
        match self.check(gate, CULPRIT) {
            QuarantineCheck::Admit => {}
            QuarantineCheck::AdmitSuspect => self.gates[gate].start_suspect(CULPRIT),
            QuarantineCheck::Redirect(home) => {
                let home = self.instances.iter().position(|i| *i == home).unwrap();
                return self.send_culprit(home);
            }
            QuarantineCheck::Busy | QuarantineCheck::Refuse { .. } => return false,
        }
        self.crash(gate, &[CULPRIT, INNOCENT]);
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn sent_again_through_any_daemons_it_takes_two(sends in proptest::collection::vec(0_usize..5, 2..20)) {
        let mut fleet = Fleet::new(5);
        let runs = sends.iter().filter(|&&gate| fleet.send_culprit(gate)).count();
        prop_assert_eq!(runs, 2);
    }
}

#[test]
fn a_suspect_runs_alone_at_the_gate_that_saw_the_crash() {
    let mut fleet = Fleet::new(3);
    fleet.crash(1, &[CULPRIT, INNOCENT]);
    let elsewhere = QuarantineCheck::Redirect(instance(1));
    assert_eq!(fleet.check(0, CULPRIT), elsewhere);
    assert_eq!(fleet.check(1, CULPRIT), QuarantineCheck::AdmitSuspect);
    fleet.gates[1].start_suspect(CULPRIT);
    assert_eq!(fleet.check(1, INNOCENT), QuarantineCheck::Busy);
}

#[test]
fn an_innocent_request_is_cleared_by_its_first_answer() {
    let mut fleet = Fleet::new(3);
    fleet.crash(1, &[CULPRIT, INNOCENT]);
    fleet.gates[1].start_suspect(INNOCENT);
    let notice = fleet.gates[1].finish(fleet.now, INNOCENT, true).unwrap();
    fleet.tell(&notice);
    assert_eq!(fleet.check(0, INNOCENT), QuarantineCheck::Admit);
    fleet.crash(1, &[CULPRIT, INNOCENT]);
    assert!(matches!(
        fleet.check(2, CULPRIT),
        QuarantineCheck::Refuse { .. }
    ));
    assert_eq!(fleet.check(2, INNOCENT), QuarantineCheck::Admit);
}

#[test]
fn all_gates_name_the_same_other_one_when_the_first_is_gone() {
    let mut fleet = Fleet::new(4);
    fleet.crash(0, &[CULPRIT]);
    fleet.instances.remove(0);
    fleet.gates.remove(0);
    let checks: Vec<QuarantineCheck> = (0..3).map(|gate| fleet.check(gate, CULPRIT)).collect();
    let alone = checks
        .iter()
        .filter(|check| **check == QuarantineCheck::AdmitSuspect);
    assert_eq!(alone.count(), 1);
}

#[test]
fn a_notice_that_arrives_twice_counts_once() {
    let mut fleet = Fleet::new(2);
    let crash = CrashId {
        instance: instance(0),
        number: 7,
    };
    let notice = QuarantineNotice::Crashed {
        crash,
        fingerprints: vec![CULPRIT],
    };
    fleet.tell(&notice);
    fleet.tell(&notice);
    assert_eq!(fleet.check(0, CULPRIT), QuarantineCheck::AdmitSuspect);
}

#[test]
fn evidence_ends_and_is_bounded() {
    let settings = CallSettings::default();
    let mut fleet = Fleet::new(1);
    fleet.crash(0, &[CULPRIT]);
    fleet.crash(0, &[CULPRIT]);
    fleet.now += settings.crash_retention;
    assert_eq!(fleet.check(0, CULPRIT), QuarantineCheck::Admit);
    let many: Vec<Fingerprint> = (10..5_000).map(Fingerprint).collect();
    fleet.crash(0, &many);
    assert_eq!(fleet.gates[0].len(), settings.max_crash_records);
}

#[test]
fn a_failure_is_answered_once_all_gates_know_or_time_is_up() {
    let now = Instant::now();
    let timeout = Duration::from_millis(500);
    let mut publication = CrashPublication::new(now, timeout, [instance(1), instance(2)]);
    publication.confirm(&instance(1));
    assert!(!publication.is_done(now));
    assert!(publication.is_done(now + timeout));
    publication.confirm(&instance(2));
    assert!(publication.is_done(now));
}
