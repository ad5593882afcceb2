//! A daemon behind a slow link still gets configuration changes in time when its relay is killed.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

#[allow(dead_code)]
mod site_process;

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use site_process::SiteProcess;
use stand_in::{
    daemon::{base64, config, wait_until},
    store::Store,
    target::Behaviour,
};

const SLOW_LINK_MBPS: f64 = 7.0;

/// How soon a change must take effect.
const MAX_APPLY_TIME: Duration = Duration::from_secs(2);

#[test]
fn a_change_right_after_the_relay_is_killed_takes_effect_in_time() {
    let ip = |last| IpAddr::from([127, 82, 1, last]);
    let store_address = SocketAddr::new(ip(250), 18_309);
    let store = Store::start(store_address);
    let put = |version| {
        store.put(
            "op",
            "config",
            &base64(config(version, "alerts").as_bytes()),
        );
    };
    put(1);
    let mut relay = SiteProcess::start(
        ip(1),
        store_address,
        "skymap",
        Behaviour::SendsWholeAfterMs(1),
    );
    let slow = SiteProcess::start_with_link(
        ip(2),
        store_address,
        "alerts",
        Behaviour::SendsWholeAfterMs(1),
        SLOW_LINK_MBPS,
    );
    wait_until("readiness", || slow.daemon.readiness() == 200);
    let has_version = |version: u64| {
        let dump = slow.daemon.dump();
        dump.contains(&format!("\"config_version\":{version},"))
    };
    wait_until("the first version", || has_version(1));
    put(2);
    wait_until("the second version", || has_version(2));
    relay.child.kill().unwrap();
    relay.child.wait().unwrap();
    put(3);
    let changed_at = Instant::now();
    wait_until("the third version", || has_version(3));
    assert!(
        changed_at.elapsed() < MAX_APPLY_TIME,
        "{:?}",
        changed_at.elapsed()
    );
}

/// Guards against a follower caught between two eras: its relay is killed while the store comes back from an older copy.
#[test]
fn a_change_takes_effect_in_time_if_the_relay_is_killed_in_a_drill_of_the_store() {
    let ip = |last| IpAddr::from([127, 82, 2, last]);
    let store_address = SocketAddr::new(ip(250), 18_309);
    let store = Store::start(store_address);
    *store.era.lock().unwrap() = "1".into();
    let put = |version| {
        store.put(
            "op",
            "config",
            &base64(config(version, "alerts").as_bytes()),
        );
    };
    put(1);
    let behaviour = Behaviour::SendsWholeAfterMs(1);
    let mut relay = SiteProcess::start(ip(1), store_address, "skymap", behaviour);
    let slow =
        SiteProcess::start_with_link(ip(2), store_address, "alerts", behaviour, SLOW_LINK_MBPS);
    wait_until("readiness", || slow.daemon.readiness() == 200);
    let has_version = |process: &SiteProcess, version: u64| {
        let dump = process.daemon.dump();
        dump.contains(&format!("\"config_version\":{version},"))
    };
    wait_until("the first version", || has_version(&slow, 1));
    let copy = store.copy();
    put(2);
    wait_until("the second version", || has_version(&slow, 2));
    relay.child.kill().unwrap();
    store.restore(copy, "2");
    // The operator's next version gets a number in the store that the lost one had.
    put(3);
    std::thread::sleep(MAX_APPLY_TIME);
    assert!(has_version(&slow, 3));
    // The relay starts on a copy without the latest version, in a second drill.
    let mut copy = store.copy();
    copy.forget("op", "config");
    store.restore(copy, "3");
    relay.kill_and_restart();
    wait_until("readiness", || relay.daemon.readiness() == 200);
    wait_until("the third version", || has_version(&relay, 3));
    assert!(has_version(&slow, 3));
}
