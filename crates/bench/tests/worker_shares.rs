//! A daemon whose workers are all busy refuses further requests at once, and a refused request never runs.

use std::{thread, time::Duration};

use medlarspool_bench::{
    CallerReply, DaemonSpec, ProcessFleet, RunLedger, UpstreamBehaviour, UpstreamSettings,
    program_paths,
};

const CALLER_COUNT: usize = 12;
const CREDENTIAL: &str = "credential";

/// Starts one daemon with 4 worker threads, whose upstream takes 2 s for each request.
fn start_fleet() -> ProcessFleet {
    let mut fleet = ProcessFleet::start(program_paths!()).expect("the platform starts");
    fleet
        .put(0, CREDENTIAL, &["sky-map"])
        .expect("the lists are accepted");
    let platform_address = fleet.platform_address();
    let spec = DaemonSpec {
        availability_zone: "zone-a".into(),
        extra_settings: "worker_threads: 4\n".into(),
        instance: "instance-0".into(),
        platform_address,
        region: "region-1".into(),
        // `ProcessDaemon` replaces both addresses of the upstream.
        upstream: Some(UpstreamSettings {
            address: platform_address,
            announcements_address: platform_address,
            behaviour: UpstreamBehaviour::Plain,
            ledger: Some(fleet.ledger_path()),
            name: "instance-0".into(),
            service: "sky-map".into(),
            service_time: Duration::from_secs(2),
            slots: 6,
        }),
    };
    fleet.add_from_spec(&spec).expect("a daemon starts");
    fleet
        .call_until(0, "/sky-map/ready", CREDENTIAL, 200)
        .expect("the request is answered");
    fleet
}

#[test]
fn callers_beyond_the_workers_are_refused_and_do_not_run() {
    let fleet = start_fleet();
    let address = fleet.daemons[0].settings.callers_address;
    let call = |index: usize| {
        let id = format!("call-{index}");
        let url = format!("http://{address}/sky-map/{id}");
        CallerReply::get_with(&url, CREDENTIAL, &[("x-request-id", &id)])
            .expect("an answer is received")
    };
    let replies: Vec<CallerReply> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|index| scope.spawn(move || call(index)))
            .collect();
        let replies = callers
            .into_iter()
            .map(|caller| caller.join().expect("no caller panics"));
        replies.collect()
    });
    let runs = RunLedger::read(&fleet.ledger_path()).expect("the ledger is readable");
    let mut refused = 0;
    for (index, reply) in replies.iter().enumerate() {
        let ran = runs.contains_key(&format!("call-{index}"));
        match reply.verdict.as_str() {
            "not-run" => {
                assert!(!ran, "{reply:?}");
                assert_eq!(reply.status, 503);
                refused += 1;
            }
            verdict => assert_eq!((verdict, ran), ("ran", true), "{reply:?}"),
        }
    }
    assert!(refused > 0 && refused < CALLER_COUNT, "{refused} refused");
}
