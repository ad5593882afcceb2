//! The hot path of a call at an entry and at a gate: authentication, admission, the choice of an upstream,
//! the bookkeeping after an answer, and the gate's queue, with 250 services, 5,800 upstreams and 100,000
//! customers.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group, criterion_main};
use fastrand::Rng;
use medlarspool_bench::DAEMONS_IN_TWO_YEARS;
use medlarspool_calls::{
    Admission, AnnouncedUpstream, CallOutcome, CallSettings, Gate, GateWork, LoadReport,
    RunOutcome, UpstreamTable,
};
use medlarspool_config::{CredentialHash, CustomerEntry, Lists, PlanEntry, ServiceEntry, Snapshot};
use medlarspool_types::{CallId, ConfigHead, ConfigVersion, Incarnation, ServiceName};

const CUSTOMER_COUNT: usize = 100_000;
const PLAN_COUNT: usize = 50;
const SERVICE_COUNT: usize = 250;
const SLOT_COUNT: u32 = 9;
const UPSTREAM_COUNT: usize = DAEMONS_IN_TWO_YEARS as usize;
const ZONE_COUNT: usize = 14;

criterion_group!(benches, admission, choice, gate);
criterion_main!(benches);

fn service(index: usize) -> ServiceName {
    format!("s{index}").parse().expect("the name is valid")
}

fn snapshot() -> Snapshot {
    let customers = (0..CUSTOMER_COUNT).map(|index| CustomerEntry {
        credential_sha256: CredentialHash::of(&format!("secret-{index}")),
        customer: format!("c{index}").parse().expect("the name is valid"),
        plan: format!("p{}", index % PLAN_COUNT)
            .parse()
            .expect("the name is valid"),
    });
    let plans = (0..PLAN_COUNT).map(|index| PlanEntry {
        plan: format!("p{index}").parse().expect("the name is valid"),
        uses: (0..SERVICE_COUNT).step_by(2).map(service).collect(),
        weight: 1,
    });
    let services = (0..SERVICE_COUNT).map(|index| ServiceEntry {
        max_request_bytes: 1_000_000,
        service: service(index),
        timeout_ms: Duration::from_secs(2),
    });
    let lists = Lists::new(customers.collect(), plans.collect(), services.collect());
    let lists = lists.expect("the lists are valid");
    let head = ConfigHead {
        version: ConfigVersion(1),
        digest: lists.digest(),
    };
    Snapshot::build(head, Arc::new(lists)).expect("the digest was computed from the lists")
}

fn table(now: Instant) -> UpstreamTable {
    let zone = |index: usize| format!("z{index}").parse().expect("the name is valid");
    let mut table = UpstreamTable::new(&CallSettings::default(), zone(0));
    for index in 0..UPSTREAM_COUNT {
        let announced = AnnouncedUpstream {
            address: "127.0.0.1:1".parse().expect("the address is valid"),
            availability_zone: zone(index % ZONE_COUNT),
            instance: format!("i{index}").parse().expect("the name is valid"),
            slots: SLOT_COUNT,
        };
        table.announce(now, &service(index % SERVICE_COUNT), announced);
    }
    table
}

fn admission(criterion: &mut Criterion) {
    let snapshot = snapshot();
    let services: Vec<ServiceName> = (0..SERVICE_COUNT).map(service).collect();
    let credentials: Vec<String> = (0..CUSTOMER_COUNT).map(|n| format!("secret-{n}")).collect();
    let mut random = Rng::with_seed(1);
    criterion.bench_function("admission_at_entry", |bencher| {
        bencher.iter(|| {
            let credential = &credentials[random.usize(..CUSTOMER_COUNT)];
            let service = &services[random.usize(..SERVICE_COUNT)];
            let decided = Admission::at_entry(&snapshot, credential, service, ConfigVersion(1));
            matches!(black_box(decided), Admission::Admitted { .. })
        });
    });
}

fn choice(criterion: &mut Criterion) {
    let mut now = Instant::now();
    let mut table = table(now);
    let services: Vec<ServiceName> = (0..SERVICE_COUNT).map(service).collect();
    let mut random = Rng::with_seed(1);
    let report = LoadReport {
        queued: 1,
        mean_run_time: Duration::from_millis(10),
        slots: SLOT_COUNT,
        slots_in_use: 4,
    };
    criterion.bench_function("choose_and_finish", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(15);
            let service = &services[random.usize(..SERVICE_COUNT)];
            let choice = table.choose(now, &mut random, service, &[]);
            let instance = choice.expect("the service has upstreams").instance;
            let elapsed = Duration::from_millis(10);
            let outcome = CallOutcome::Answered { elapsed };
            table.finish(now, service, &instance, outcome, Some(report));
        });
    });
}

/// Measures a call that waits at a full gate, starts and ends.
fn gate(criterion: &mut Criterion) {
    let mut now = Instant::now();
    let mut gate = Gate::new(&CallSettings::default(), SLOT_COUNT, Incarnation(1), now);
    let channel = gate.open_channel();
    let mut actions = Vec::new();
    let mut next = 0;
    let mut offer = |gate: &mut Gate<()>, now: Instant, actions: &mut Vec<_>| {
        next += 1;
        let work = GateWork {
            call: CallId(next),
            customer: format!("c{}", next % 16)
                .parse()
                .expect("the name is valid"),
            deadline: now + Duration::from_mins(1),
            weight: 1,
        };
        gate.offer(now, work, channel, actions);
    };
    for _ in 0..64 {
        offer(&mut gate, now, &mut actions);
    }
    let mut running: std::collections::VecDeque<CallId> =
        (1..=u128::from(SLOT_COUNT)).map(CallId).collect();
    criterion.bench_function("gate_offer_and_finish", |bencher| {
        bencher.iter(|| {
            now += Duration::from_millis(1);
            actions.clear();
            offer(&mut gate, now, &mut actions);
            let call = running.pop_front().expect("the slots are full");
            let end = RunOutcome::Answered {
                answer: (),
                answer_bytes: 1_000,
            };
            gate.finish(now, call, end, &mut actions);
            for action in &actions {
                if let medlarspool_calls::GateAction::Start { call } = action {
                    running.push_back(*call);
                }
            }
        });
    });
}
