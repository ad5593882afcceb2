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

/// Writes a version of the configuration as the operator does.
fn put(store: &Store, version: u64) {
    let text = config(version, "alerts");
    store.put("op", "config", &base64(text.as_bytes()));
}

fn has_version(process: &SiteProcess, version: u64) -> bool {
    let dump = process.daemon.dump();
    dump.contains(&format!("\"config_version\":{version},"))
}

/// Starts a store, a relay and a daemon behind a slow link, and waits until the latter has the first version.
fn start(subnet: u8) -> (Store, SiteProcess, SiteProcess) {
    let ip = |last| IpAddr::from([127, 82, subnet, last]);
    let store_address = SocketAddr::new(ip(250), 18_309);
    let store = Store::start(store_address);
    put(&store, 1);
    let behaviour = Behaviour::SendsWholeAfterMs(1);
    let relay = SiteProcess::start(ip(1), store_address, "skymap", behaviour);
    let slow =
        SiteProcess::start_with_link(ip(2), store_address, "alerts", behaviour, SLOW_LINK_MBPS);
    wait_until("readiness", || slow.daemon.readiness() == 200);
    wait_until("the first version", || has_version(&slow, 1));
    (store, relay, slow)
}

#[test]
fn a_change_right_after_the_relay_is_killed_takes_effect_in_time() {
    let (store, mut relay, slow) = start(1);
    put(&store, 2);
    wait_until("the second version", || has_version(&slow, 2));
    relay.child.kill().unwrap();
    relay.child.wait().unwrap();
    put(&store, 3);
    let changed_at = Instant::now();
    wait_until("the third version", || has_version(&slow, 3));
    assert!(
        changed_at.elapsed() < MAX_APPLY_TIME,
        "{:?}",
        changed_at.elapsed()
    );
}

/// Guards against a follower caught between two eras: its relay is killed while the store comes back from an older copy.
#[test]
fn a_change_takes_effect_in_time_if_the_relay_is_killed_in_a_drill_of_the_store() {
    let (store, mut relay, slow) = start(2);
    *store.era.lock().unwrap() = "1".into();
    let copy = store.copy();
    put(&store, 2);
    wait_until("the second version", || has_version(&slow, 2));
    relay.child.kill().unwrap();
    store.restore(copy, "2");
    // The operator's next version gets a number in the store that the lost one had.
    put(&store, 3);
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
