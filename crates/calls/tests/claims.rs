//! Idempotency keys: a keyed request runs at most once, even if writes are lost or late, the store is
//! down or gates are restarted.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

use medlarspool_calls::{
    BatchOutcome, CallSettings, ChannelId, ClaimBatch, ClaimKey, ClaimPolicy, ClaimRow, ClaimStep,
    ClaimSweep, ClaimWrite, ClaimWriteOutcome, Fate, FateQuestion, FateTable, Fingerprint,
    QuestionKind, RefusalReason, RunOutcome, StoredClaimRow,
};
use medlarspool_types::{CallId, Incarnation};
use proptest::prelude::*;
use rstest::rstest;

/// A key issued 1,700,000,000 seconds after the Unix epoch.
const KEY: &str = "018bcfe5-6800-7000-8000-000000000000";
const KEY_ISSUED: Duration = Duration::from_secs(1_700_000_000);
const GATES: usize = 3;

fn key() -> ClaimKey {
    ClaimKey::parse(&"trust".parse().unwrap(), &"alerts".parse().unwrap(), KEY).unwrap()
}

fn row(call: u128, gate: usize, incarnation: Incarnation, body: u128) -> ClaimRow {
    ClaimRow {
        attempt: CallId(call),
        fingerprint: Fingerprint(body),
        gate: format!("gate-{gate}").parse().unwrap(),
        gate_address: "127.0.0.1:9000".parse().unwrap(),
        gate_incarnation: incarnation,
    }
}

#[rstest]
#[case::valid(KEY, true)]
#[case::version_4("018bcfe5-6800-4000-8000-000000000000", false)]
#[case::wrong_variant("018bcfe5-6800-7000-0000-000000000000", false)]
#[case::no_hyphens("018bcfe5680070008000000000000000", false)]
#[case::not_ascii("018bcfe5-6800-7000-8000-00000000000é", false)]
#[case::empty("", false)]
fn a_key_carries_its_time(#[case] text: &str, #[case] valid: bool) {
    let parsed = ClaimKey::parse(&"a".parse().unwrap(), &"b".parse().unwrap(), text);
    assert_eq!(parsed.is_ok(), valid);
    if let Ok(key) = parsed {
        assert_eq!(key.issued_at(), SystemTime::UNIX_EPOCH + KEY_ISSUED);
    }
}

#[rstest]
#[case::fresh(Duration::ZERO, true)]
#[case::last_moment(Duration::from_hours(24) - Duration::from_millis(1), true)]
#[case::expired(Duration::from_hours(24), false)]
fn an_old_key_is_refused_before_its_row_is_swept(#[case] age: Duration, #[case] valid: bool) {
    let settings = CallSettings::default();
    let now = SystemTime::UNIX_EPOCH + KEY_ISSUED + age;
    let mut policy = ClaimPolicy::new(&settings, key(), row(1, 0, Incarnation(1), 1));
    let step: ClaimStep<u32> = policy.start(now, &settings);
    assert_eq!(matches!(step, ClaimStep::Write(_)), valid);
    let slow_clock = now - settings.clock_skew_limit;
    let accepted_somewhere = slow_clock < key().issued_at() + settings.claim_lifetime;
    let may_delete = ClaimSweep::may_delete(&key().row_key(), now, &settings);
    assert!(!(accepted_somewhere && may_delete));
}

#[test]
fn an_old_row_is_swept_eventually() {
    let settings = CallSettings::default();
    let now = SystemTime::UNIX_EPOCH + KEY_ISSUED + Duration::from_hours(26);
    assert!(ClaimSweep::may_delete(&key().row_key(), now, &settings));
    assert!(!ClaimSweep::may_delete("config/head", now, &settings));
}

#[test]
fn a_row_survives_a_round_trip() {
    let written = row(u128::MAX, 2, Incarnation(77), 5);
    assert_eq!(written.to_string().parse(), Ok(written));
    assert!("1 2 3".parse::<ClaimRow>().is_err());
}

fn write(call: u128, key: &str) -> ClaimWrite {
    ClaimWrite {
        attempt: CallId(call),
        etag: None,
        key: key.into(),
        value: Some(String::new()),
    }
}

#[test]
fn claims_share_a_transaction_and_only_the_conflicting_write_fails() {
    let settings = CallSettings::default();
    let now = Instant::now();
    let mut batch = ClaimBatch::new(&settings);
    batch.submit(now, write(0, "a")).unwrap();
    assert_eq!(batch.start(now).map(<[_]>::len), Some(1));
    for (call, key) in [(1, "b"), (2, "c"), (3, "c")] {
        batch.submit(now, write(call, key)).unwrap();
    }
    assert_eq!(batch.start(now), None);
    assert_eq!(
        batch.finish(now, &BatchOutcome::Written)[0].attempt,
        CallId(0)
    );
    assert_eq!(batch.start(now), None);
    let later = batch.next_wakeup().unwrap();
    assert_eq!(later, now + settings.claim_interval);
    assert_eq!(batch.start(later).map(<[_]>::len), Some(2));
    let conflict = BatchOutcome::Conflict { key: "b".into() };
    let results = batch.finish(later, &conflict);
    assert_eq!(results.len(), 1);
    assert_eq!(results[0].outcome, ClaimWriteOutcome::Conflict);
    let last = batch.next_wakeup().unwrap();
    let writes: Vec<CallId> = batch
        .start(last)
        .unwrap()
        .iter()
        .map(|w| w.attempt)
        .collect();
    assert_eq!(writes, [CallId(2)]);
}

#[test]
fn a_store_that_is_down_refuses_at_once() {
    let now = Instant::now();
    let mut batch = ClaimBatch::new(&CallSettings::default());
    batch.submit(now, write(0, "a")).unwrap();
    batch.start(now);
    batch.submit(now, write(1, "b")).unwrap();
    let results = batch.finish(now, &BatchOutcome::Down);
    assert!(results.iter().all(|r| r.outcome == ClaimWriteOutcome::Down));
    assert_eq!(results.len(), 2);
    let refused = batch.submit(now, write(2, "c"));
    assert_eq!(refused, Err(RefusalReason::StoreDown));
    let later = now + Duration::from_secs(1);
    assert_eq!(batch.submit(later, write(2, "c")), Ok(()));
}

/// What happens in the cluster; `usize` picks an attempt, a delayed write or a gate.
#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    /// A running attempt ends: 0 is lost, 1 not sent to the upstream, 2 answered.
    End(usize, u8),
    ApplyDelayedWrite(usize),
    /// An attempt takes its next step with a fault: 0 is none, and with 1 the store or the other gate is down.
    /// The outcome of a write is unknown with 2, which applies it at once, and with 3, which delays it.
    Progress(usize, u8),
    Restart(usize),
    Send {
        body: u8,
        gate: usize,
    },
}

struct Attempt {
    gate: usize,
    policy: ClaimPolicy,
    row: ClaimRow,
    state: AttemptState,
}

#[derive(PartialEq)]
enum AttemptState {
    Ended,
    NotRun,
    Running,
    Step(ClaimStep<u32>),
}

struct Cluster {
    attempts: Vec<Attempt>,
    delayed_writes: Vec<ClaimWrite>,
    gates: Vec<(FateTable<u32>, ChannelId, Incarnation)>,
    next_etag: u64,
    now: Instant,
    run_count: u32,
    settings: CallSettings,
    table: BTreeMap<String, (u64, String)>,
}

impl Cluster {
    fn new() -> Self {
        let settings = CallSettings {
            fate_retention: Duration::from_millis(40),
            max_fates: 2,
            ..CallSettings::default()
        };
        let mut cluster = Self {
            attempts: Vec::new(),
            delayed_writes: Vec::new(),
            gates: Vec::new(),
            next_etag: 1,
            now: Instant::now(),
            run_count: 0,
            settings,
            table: BTreeMap::new(),
        };
        for _ in 0..GATES {
            let gate = cluster.start_gate(Incarnation(1));
            cluster.gates.push(gate);
        }
        cluster
    }

    fn start_gate(&self, incarnation: Incarnation) -> (FateTable<u32>, ChannelId, Incarnation) {
        let mut fates = FateTable::new(&self.settings, incarnation, self.now);
        let channel = fates.open_channel();
        (fates, channel, incarnation)
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Advance(ms) => self.now += Duration::from_millis(ms),
            Event::End(pick, end) if !self.attempts.is_empty() => {
                self.end_attempt(pick % self.attempts.len(), end);
            }
            Event::ApplyDelayedWrite(pick) if !self.delayed_writes.is_empty() => {
                let write = self
                    .delayed_writes
                    .swap_remove(pick % self.delayed_writes.len());
                self.store(&write);
            }
            Event::Progress(pick, fault) if !self.attempts.is_empty() => {
                self.progress(pick % self.attempts.len(), fault);
            }
            Event::Restart(gate) => self.restart(gate),
            Event::Send { body, gate } => self.send(body, gate),
            _ => {}
        }
    }

    fn send(&mut self, body: u8, gate: usize) {
        let (fates, channel, incarnation) = &mut self.gates[gate];
        let row = row(
            self.attempts.len() as u128,
            gate,
            *incarnation,
            u128::from(body),
        );
        fates.arrive(self.now, row.attempt, *channel);
        let mut policy = ClaimPolicy::new(&self.settings, key(), row.clone());
        let now = SystemTime::UNIX_EPOCH + KEY_ISSUED;
        let step = policy.start(now, &self.settings);
        self.attempts.push(Attempt {
            gate,
            policy,
            row,
            state: AttemptState::Step(step),
        });
    }

    /// Replaces a gate's process. A call that was running in it may have run, so it counts as a run.
    fn restart(&mut self, gate: usize) {
        let incarnation = self.gates[gate].2.next();
        self.gates[gate] = self.start_gate(incarnation);
        for attempt in &mut self.attempts {
            if attempt.gate == gate {
                self.run_count += u32::from(attempt.state == AttemptState::Running);
                attempt.state = AttemptState::Ended;
            }
        }
    }

    fn end_attempt(&mut self, index: usize, outcome_code: u8) {
        let attempt = &mut self.attempts[index];
        if attempt.state != AttemptState::Running {
            return;
        }
        let outcome = match outcome_code {
            0 => RunOutcome::Lost,
            1 => RunOutcome::NotSent,
            _ => RunOutcome::Answered {
                answer: 1,
                answer_bytes: 1,
            },
        };
        self.run_count += u32::from(outcome != RunOutcome::NotSent);
        attempt.state = AttemptState::Ended;
        let fates = &mut self.gates[attempt.gate].0;
        fates.finish(self.now, attempt.row.attempt, outcome);
    }

    fn progress(&mut self, index: usize, fault: u8) {
        let AttemptState::Step(step) = &self.attempts[index].state else {
            return;
        };
        let next = match step.clone() {
            ClaimStep::AskHolder(row) | ClaimStep::Wait(row) => {
                let fate = self.ask(&row, fault);
                self.attempts[index].policy.on_fate(row, fate)
            }
            ClaimStep::Earlier(_) | ClaimStep::Refuse(_) => {
                let attempt = &mut self.attempts[index];
                self.gates[attempt.gate].0.fence(attempt.row.attempt);
                attempt.state = AttemptState::NotRun;
                return;
            }
            ClaimStep::Read if fault == 1 => self.attempts[index].policy.on_read_failed(),
            ClaimStep::Read => {
                let holder = self.read();
                self.attempts[index].policy.on_read(holder)
            }
            ClaimStep::Run => {
                let attempt = &mut self.attempts[index];
                let fates = &mut self.gates[attempt.gate].0;
                attempt.state = if fates.start(attempt.row.attempt) {
                    AttemptState::Running
                } else {
                    AttemptState::NotRun
                };
                return;
            }
            ClaimStep::Write(write) => {
                let outcome = self.commit(write, fault);
                self.attempts[index].policy.on_write(outcome)
            }
        };
        self.attempts[index].state = AttemptState::Step(next);
    }

    fn ask(&mut self, row: &ClaimRow, fault: u8) -> Fate<u32> {
        let gate: usize = row.gate.as_str()[5..].parse().unwrap();
        if fault == 1 {
            return Fate::MayHaveRun;
        }
        let question = FateQuestion {
            call: row.attempt,
            channel: ChannelId {
                gate_incarnation: row.gate_incarnation,
                number: 0,
            },
            kind: QuestionKind::Inquire,
        };
        self.gates[gate].0.ask(self.now, &question).fate
    }

    fn read(&self) -> Option<StoredClaimRow> {
        let (etag, value) = self.table.get(&key().row_key())?;
        Some(StoredClaimRow {
            etag: *etag,
            row: value.parse().unwrap(),
        })
    }

    fn commit(&mut self, write: ClaimWrite, fault: u8) -> ClaimWriteOutcome {
        match fault {
            1 => ClaimWriteOutcome::Down,
            2 => {
                self.store(&write);
                ClaimWriteOutcome::Unknown
            }
            3 => {
                self.delayed_writes.push(write);
                ClaimWriteOutcome::Unknown
            }
            _ if self.store(&write) => ClaimWriteOutcome::Written,
            _ => ClaimWriteOutcome::Conflict,
        }
    }

    fn store(&mut self, write: &ClaimWrite) -> bool {
        let stored_etag = self.table.get(&write.key).map(|(etag, _)| *etag);
        if stored_etag != write.etag {
            return false;
        }
        let value = write.value.clone().unwrap();
        self.table
            .insert(write.key.clone(), (self.next_etag, value));
        self.next_etag += 1;
        true
    }
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let fault = prop_oneof![4 => Just(0_u8), 1 => Just(1_u8), 1 => Just(2_u8), 2 => Just(3_u8)];
    let event = prop_oneof![
        2 => (1_u64..30).prop_map(Event::Advance),
        4 => (any::<usize>(), 0_u8..3).prop_map(|(pick, end)| Event::End(pick, end)),
        2 => any::<usize>().prop_map(Event::ApplyDelayedWrite),
        16 => (any::<usize>(), fault).prop_map(|(pick, fault)| Event::Progress(pick, fault)),
        1 => (0..GATES).prop_map(Event::Restart),
        4 => (0_u8..8, 0..GATES)
            .prop_map(|(body, gate)| Event::Send { body: body / 7, gate }),
    ];
    proptest::collection::vec(event, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// A key that is sent many times to three gates runs at most once, in any order of events, with
    /// writes that are lost, late or of unknown outcome and with restarted gates.
    #[test]
    fn a_key_runs_at_most_once(events in events()) {
        let mut cluster = Cluster::new();
        for event in &events {
            cluster.apply(event);
            let running = cluster.attempts.iter().filter(|a| a.state == AttemptState::Running);
            let running_count = u32::try_from(running.count()).unwrap();
            prop_assert!(cluster.run_count + running_count <= 1, "{} ran, {running_count} run", cluster.run_count);
        }
    }
}

/// Without faults, each of two attempts with one key ends, and exactly one of them runs.
#[test]
fn one_of_two_concurrent_sends_runs() {
    let mut cluster = Cluster::new();
    cluster.send(0, 0);
    cluster.send(0, 1);
    for _ in 0..10 {
        for index in [1, 0] {
            cluster.progress(index, 0);
        }
    }
    cluster.end_attempt(1, 2);
    for _ in 0..10 {
        cluster.progress(0, 0);
    }
    assert_eq!(cluster.run_count, 1);
    assert!(cluster.attempts[0].state == AttemptState::NotRun);
}
