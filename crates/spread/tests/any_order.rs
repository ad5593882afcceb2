//! Random sequences of changes, faults and restarts among a few daemons.
//!
//! After every event the harness asserts that no daemon's version decreases within an incarnation, and that
//! its lists are exactly those of a committed version. Once the faults end, all daemons must converge.

mod fleet;

use std::time::Duration;

use fleet::{Faults, Fleet};
use medlarspool_spread::{SpreadPreference, SpreadSettings};
use proptest::{
    prelude::*,
    test_runner::{Config, FileFailurePersistence},
};

const DAEMON_COUNT: usize = 7;
const ZONE_COUNT: usize = 3;
/// The digest intervals after the last fault within which every daemon must hold the newest version.
const CONVERGENCE_PERIODS: u32 = 40;

#[derive(Clone, Debug)]
enum Step {
    Commit {
        change_count: usize,
    },
    CutZone {
        zone: Option<usize>,
    },
    DamageLists {
        daemon: usize,
    },
    Kill {
        daemon: usize,
    },
    Network {
        damage_probability: f64,
        duplicate_probability: f64,
        delay_ms: u64,
        loss_probability: f64,
    },
    Run {
        duration_ms: u64,
    },
    Start {
        daemon: usize,
    },
    Store {
        down: bool,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_usize..40).prop_map(|change_count| Step::Commit { change_count }),
        1 => prop::option::of(0..ZONE_COUNT).prop_map(|zone| Step::CutZone { zone }),
        1 => (0..DAEMON_COUNT).prop_map(|daemon| Step::DamageLists { daemon }),
        1 => (0..DAEMON_COUNT).prop_map(|daemon| Step::Kill { daemon }),
        1 => (0.0..0.5, 0.0..0.5, 0_u64..800, 0.0..0.6).prop_map(
            |(damage_probability, duplicate_probability, delay_ms, loss_probability)| Step::Network {
                damage_probability,
                duplicate_probability,
                delay_ms,
                loss_probability,
            }
        ),
        6 => (1_u64..3_000).prop_map(|duration_ms| Step::Run { duration_ms }),
        2 => (0..DAEMON_COUNT).prop_map(|daemon| Step::Start { daemon }),
        1 => any::<bool>().prop_map(|down| Step::Store { down }),
    ]
}

fn apply_step(fleet: &mut Fleet, step: &Step) {
    match step {
        Step::Commit { change_count } => (0..*change_count).for_each(|_| {
            fleet.store.commit();
        }),
        Step::CutZone { zone } => {
            fleet.faults.cut_zone = zone.map(|zone| format!("zone-{zone}").parse().unwrap());
            fleet.announce_peers();
        }
        Step::DamageLists { daemon } => fleet.damage(*daemon),
        Step::Kill { daemon } => fleet.kill(*daemon),
        Step::Network {
            damage_probability,
            duplicate_probability,
            delay_ms,
            loss_probability,
        } => {
            fleet.faults.damage_probability = *damage_probability;
            fleet.faults.duplicate_probability = *duplicate_probability;
            fleet.faults.max_delay = Duration::from_millis(*delay_ms);
            fleet.faults.loss_probability = *loss_probability;
        }
        Step::Run { duration_ms } => fleet.run(Duration::from_millis(*duration_ms)),
        Step::Start { daemon } => fleet.start(*daemon),
        Step::Store { down } => fleet.store.down = *down,
    }
}

fn any_preference() -> impl Strategy<Value = SpreadPreference> {
    prop_oneof![
        Just(SpreadPreference::Convergence),
        Just(SpreadPreference::ControlBytes)
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct("tests/any_order.txt"))),
        ..Config::default()
    })]

    #[test]
    fn no_version_decreases_and_every_daemon_converges(
        preference in any_preference(),
        seed in any::<u64>(),
        steps in prop::collection::vec(any_step(), 1..40),
    ) {
        let settings = SpreadSettings::for_preference(preference);
        let period = settings.digest_interval;
        let mut fleet = Fleet::new(DAEMON_COUNT, ZONE_COUNT, settings, seed);
        for step in &steps {
            apply_step(&mut fleet, step);
        }
        fleet.faults = Faults::default();
        fleet.store.down = false;
        let head = fleet.store.commit();
        for index in 0..DAEMON_COUNT {
            if fleet.nodes[index].core.is_none() {
                fleet.start(index);
            }
        }
        fleet.announce_peers();
        fleet.run(period * CONVERGENCE_PERIODS);
        prop_assert!(fleet.all_hold(head));
        prop_assert!(fleet.live().all(|node| node.readiness().is_ready()));
    }
}
