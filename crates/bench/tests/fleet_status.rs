//! Tests the operators' `status` command with a fleet of real processes.

use std::time::Duration;

use medlarspool::FleetStatus;
use medlarspool_bench::{OPERATOR_TOKEN, ProcessFleet, UpstreamBehaviour, program_paths};

fn status(fleet: &ProcessFleet, daemon: usize) -> FleetStatus {
    let address = fleet.daemons[daemon].settings.administration_address;
    let output = fleet
        .command_without_platform(&[
            "status",
            "--json",
            "--daemon",
            &address.to_string(),
            "--token",
            OPERATOR_TOKEN,
        ])
        .expect("the command runs");
    serde_json::from_slice(&output.stdout).expect("the command prints a status")
}

#[test]
fn every_daemon_reports_the_whole_fleet() {
    let mut fleet = ProcessFleet::start(program_paths!()).expect("the platform starts");
    fleet.put(0, "credential", &["sky-map"]).expect("accepted");
    for zone in ["zone-a", "zone-b", "zone-c"] {
        fleet
            .add(zone, "sky-map", UpstreamBehaviour::Plain, Duration::ZERO)
            .expect("a daemon starts");
    }
    for daemon in 0..3 {
        fleet
            .call_until(daemon, "/sky-map/a", "credential", 200)
            .expect("the plan allows it");
    }
    let is_complete = |status: &FleetStatus| {
        let holds = |instance: &medlarspool::InstanceStatus| {
            instance.version.0 == 1 && instance.state == "alive" && instance.upstream == "serving"
        };
        status.instances.len() == 3 && status.instances.iter().all(holds)
    };
    let complete = (0..60).any(|_| (0..3).all(|daemon| is_complete(&status(&fleet, daemon))));
    assert!(complete, "{:?}", status(&fleet, 0));
}
