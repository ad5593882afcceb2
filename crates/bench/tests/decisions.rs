//! The dump explains which upstream a call was sent to and why.

use std::time::Duration;

use medlarspool_bench::{OPERATOR_TOKEN, ProcessFleet, UpstreamBehaviour, program_paths};

#[test]
fn the_dump_names_upstream_and_reason_of_a_call() {
    let mut fleet = ProcessFleet::start(program_paths!()).expect("the platform starts");
    fleet
        .put(0, "credential", &["sky-map"])
        .expect("the lists are accepted");
    fleet
        .add(
            "zone-a",
            "sky-map",
            UpstreamBehaviour::Plain,
            Duration::ZERO,
        )
        .expect("a daemon starts");
    fleet
        .call_until(0, "/sky-map/tonight", "credential", 200)
        .expect("the request is answered");
    let address = fleet.daemons[0].settings.administration_address.to_string();
    let arguments = ["dump", "--daemon", &address, "--token", OPERATOR_TOKEN];
    let output = fleet
        .command_without_platform(&arguments)
        .expect("the command runs");
    let dump: serde_json::Value = serde_json::from_slice(&output.stdout).expect("the dump is JSON");
    let decision = &dump["decisions"][0];
    assert_eq!(decision["service"], "sky-map", "{dump}");
    assert_eq!(decision["upstream"], "instance-0", "{dump}");
    assert!(decision["reason"].is_string(), "{dump}");
}
