//! Tests that accepted changes reach real daemon processes despite killed daemons, outages of the store and lost
//! answers.

use std::time::Duration;

use medlarspool_bench::{
    CallerReply, OPERATOR_TOKEN, ProcessFleet, UpstreamBehaviour, program_paths,
};
use medlarspool_platform::FakeFaults;
use rstest::rstest;

const CREDENTIAL: &str = "observer-credential";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const USES: [&str; 2] = ["sky-map", "sightings"];
/// The maximum number of polls of a condition, 50 ms apart.
const MAX_POLLS: usize = 300;

struct SpreadFleet {
    fleet: ProcessFleet,
    /// For each daemon, the incarnation and the version in its latest dump; zeros before the first.
    last_seen: Vec<(u64, u64)>,
}

impl SpreadFleet {
    /// Starts two daemons in each of three zones and puts the first lists.
    fn start() -> Self {
        let mut fleet = ProcessFleet::start(program_paths!()).expect("the platform starts");
        for zone in ZONES.iter().chain(&ZONES) {
            fleet
                .add(zone, "sky-map", UpstreamBehaviour::Plain, Duration::ZERO)
                .expect("a daemon starts");
        }
        let last_seen = vec![(0, 0); fleet.daemons.len()];
        let mut fleet = Self { fleet, last_seen };
        fleet.put(1);
        fleet.wait_all_hold(1);
        fleet.wait("every daemon knows every other", |fleet| {
            (0..fleet.last_seen.len()).all(|daemon| fleet.living_count(daemon) == Some(6))
        });
        fleet
    }

    /// Returns how many daemons are living in a daemon's view, or `None` if the daemon doesn't answer.
    fn living_count(&self, daemon: usize) -> Option<u64> {
        self.read_page(daemon, "dump")?["membership"]["living"].as_u64()
    }

    /// Puts the lists of a version, which differ from those of the version before.
    fn put(&self, version: u64) {
        let uses = USES[usize::try_from(version % 2).expect("small")];
        self.fleet
            .put(version - 1, CREDENTIAL, &[uses])
            .expect("accepted");
    }

    fn set_faults(&self, faults: &FakeFaults) {
        let address = self.fleet.daemons[0].settings.platform_address;
        let body = serde_json::to_string(faults).expect("text");
        ureq::put(format!("http://{address}/admin/faults"))
            .send(body)
            .expect("the platform takes its faults");
    }

    /// Returns the version that a daemon holds, or `None` while it doesn't answer.
    ///
    /// Asserts that the version never goes back within one incarnation.
    fn held_version(&mut self, daemon: usize) -> Option<u64> {
        let dump = self.dump(daemon)?;
        let incarnation = dump["incarnation"].as_u64()?;
        let version = dump["config"]["version"].as_u64()?;
        let (last_incarnation, last_version) = self.last_seen[daemon];
        assert!(
            incarnation != last_incarnation || version >= last_version,
            "daemon {daemon} went back from {last_version} to {version}"
        );
        self.last_seen[daemon] = (incarnation, version);
        Some(version)
    }

    fn dump(&self, daemon: usize) -> Option<serde_json::Value> {
        self.read_page(daemon, "dump")
    }

    fn read_page(&self, daemon: usize, page: &str) -> Option<serde_json::Value> {
        let address = self.fleet.daemons[daemon].settings.administration_address;
        let reply = CallerReply::get(&format!("http://{address}/{page}"), OPERATOR_TOKEN).ok()?;
        serde_json::from_str(&reply.body).ok()
    }

    fn readiness(&self, daemon: usize) -> String {
        let dump = self.dump(daemon).unwrap_or_default();
        dump["spread"]["readiness"]
            .as_str()
            .unwrap_or_default()
            .into()
    }

    fn wait_all_hold(&mut self, version: u64) {
        let daemons = 0..self.last_seen.len();
        self.wait("every daemon holds the version", |fleet| {
            daemons
                .clone()
                .all(|daemon| fleet.held_version(daemon) == Some(version))
        });
    }

    fn wait_any_holds(&mut self, version: u64) {
        let daemons = 0..self.last_seen.len();
        self.wait("a daemon holds the version", |fleet| {
            daemons
                .clone()
                .any(|daemon| fleet.held_version(daemon) == Some(version))
        });
    }

    /// Polls until a condition holds; panics with all daemons' dumps if it doesn't in time.
    fn wait(&mut self, description: &str, mut condition: impl FnMut(&mut Self) -> bool) {
        for _ in 0..MAX_POLLS {
            if condition(self) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        let dumps: Vec<_> = (0..self.last_seen.len())
            .map(|daemon| self.dump(daemon))
            .collect();
        panic!("not in time: {description}; {dumps:#?}");
    }

    fn restart(&mut self, daemon: usize) {
        let programs = self.fleet.programs();
        self.fleet.daemons[daemon]
            .restart(&programs)
            .expect("it starts again");
    }
}

#[test]
fn daemons_killed_during_changes_end_up_with_the_newest_version() {
    let mut fleet = SpreadFleet::start();
    for version in 2..=9 {
        let killed = usize::try_from(version).expect("small") % 6;
        fleet.fleet.daemons[killed].process.kill();
        fleet.put(version);
        fleet.restart(killed);
        for daemon in 0..6 {
            fleet.held_version(daemon);
        }
    }
    fleet.wait_all_hold(9);
}

#[test]
fn a_change_that_one_daemon_holds_reaches_all_without_the_store() {
    let mut fleet = SpreadFleet::start();
    fleet.put(2);
    fleet.wait_any_holds(2);
    fleet.set_faults(&FakeFaults {
        down: true,
        ..FakeFaults::default()
    });
    fleet.wait_all_hold(2);
    fleet.restart(4);
    fleet.wait("a new process is confirmed by its peers", |fleet| {
        fleet.readiness(4) == "ready, confirmed by peers of two availability zones"
    });
    assert_eq!(fleet.held_version(4), Some(2));
    fleet.set_faults(&FakeFaults::default());
    fleet.put(3);
    fleet.wait_all_hold(3);
    fleet.wait("the store confirms it", |fleet| {
        fleet.readiness(4) == "ready, confirmed by the store"
    });
}

#[rstest]
#[case::answer_lost(FakeFaults { lost_answers: 2, ..FakeFaults::default() })]
#[case::write_lost(FakeFaults { lost_writes: 1, ..FakeFaults::default() })]
fn a_write_without_an_answer_results_in_one_version(#[case] faults: FakeFaults) {
    let mut fleet = SpreadFleet::start();
    fleet.set_faults(&faults);
    let uses = [USES[0]];
    if let Err(refused) = fleet.fleet.put(1, CREDENTIAL, &uses) {
        fleet.set_faults(&FakeFaults::default());
        let accepted = fleet.fleet.put(1, CREDENTIAL, &uses);
        assert!(accepted.is_ok(), "{refused}; then {accepted:?}");
    }
    fleet.wait_all_hold(2);
}
