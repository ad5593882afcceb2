//! The path of a call from its caller to the upstream, with separate processes over loopback.

use std::time::Duration;

use medlarspool_bench::{ProcessFleet, UpstreamBehaviour, program_paths};

const CREDENTIAL: &str = "observer-credential";

fn start_fleet() -> ProcessFleet {
    let mut fleet = ProcessFleet::start(program_paths!()).expect("the platform starts");
    let plan = [
        ("zone-a", "sky-map"),
        ("zone-b", "sightings"),
        ("zone-c", "sky-map"),
    ];
    for (zone, service) in plan {
        fleet
            .add(zone, service, UpstreamBehaviour::Plain, Duration::ZERO)
            .expect("a daemon starts");
    }
    fleet
}

#[test]
fn a_change_of_plan_changes_which_services_its_caller_may_call() {
    let mut fleet = start_fleet();
    fleet
        .put(0, CREDENTIAL, &["sky-map"])
        .expect("the lists are accepted");
    let allowed = fleet
        .call_until(0, "/sky-map/tonight", CREDENTIAL, 200)
        .expect("the plan allows it");
    assert_eq!(allowed.verdict, "ran");
    assert!(allowed.body.ends_with(" /tonight \n"), "{}", allowed.body);

    let refused = fleet
        .call(0, "/sightings/new", CREDENTIAL)
        .expect("an answer is received");
    assert_eq!((refused.status, refused.verdict.as_str()), (403, "not-run"));
    let unknown_customer = fleet
        .call(0, "/sky-map/tonight", "wrong")
        .expect("an answer is received");
    assert_eq!(
        (unknown_customer.status, unknown_customer.verdict.as_str()),
        (401, "not-run")
    );

    fleet
        .put(1, CREDENTIAL, &["sightings"])
        .expect("the lists are accepted");
    for daemon in 0..3 {
        fleet
            .call_until(daemon, "/sightings/new", CREDENTIAL, 200)
            .expect("the plan allows it now");
        fleet
            .call_until(daemon, "/sky-map/tonight", CREDENTIAL, 403)
            .expect("the plan no longer allows it");
    }

    for daemon in &mut fleet.daemons {
        let code = daemon
            .stop(Duration::from_secs(20))
            .expect("the daemon is asked to stop");
        assert_eq!(code, Some(0));
    }
}
