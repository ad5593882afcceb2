//! Tests with random faults: no older update replaces a newer one, and the views of the running nodes
//! agree after the faults have ended.

use std::time::Duration;

use crate::fleet::Fleet;
use medlarspool_membership::MembershipEvent;
use medlarspool_types::Incarnation;
use proptest::{prelude::*, test_runner::FileFailurePersistence};

/// The protocol periods after the last fault within which all views agree.
const PERIODS_TO_AGREE: u32 = 120;

/// The file of the seeds of failed cases.
const SEEDS: &str = "tests/membership/properties.seeds";

#[derive(Clone, Debug)]
enum Fault {
    Crash(usize),
    /// Partitions the nodes: the bit of its index in the mask gives each node's side.
    Cut(u16),
    /// Sets the maximum delay of messages, in milliseconds.
    Delay(u64),
    /// Sets the share of messages that arrive twice, in percent.
    Duplicate(u32),
    /// Ends the partition.
    Heal,
    Leave(usize),
    /// Sets the share of messages that are lost, in percent.
    Lose(u32),
    /// Pauses a node for some seconds.
    Pause(usize, u64),
    Restart(usize),
    RestartWithOldClock(usize),
    /// Makes the store available or unavailable.
    Store(bool),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        any::<usize>().prop_map(Fault::Crash),
        any::<u16>().prop_map(Fault::Cut),
        (1_u64..400).prop_map(Fault::Delay),
        (0_u32..30).prop_map(Fault::Duplicate),
        Just(Fault::Heal),
        any::<usize>().prop_map(Fault::Leave),
        (0_u32..30).prop_map(Fault::Lose),
        (any::<usize>(), 1_u64..20).prop_map(|(index, seconds)| Fault::Pause(index, seconds)),
        any::<usize>().prop_map(Fault::Restart),
        any::<usize>().prop_map(Fault::RestartWithOldClock),
        any::<bool>().prop_map(Fault::Store),
    ]
}

/// Applies a fault to the fleet; the index of a node is taken modulo the fleet's size.
fn inject(fleet: &mut Fleet, fault: &Fault) {
    let size = fleet.nodes.len();
    match *fault {
        Fault::Crash(index) => fleet.crash(index % size),
        Fault::Cut(mask) => {
            for index in 0..size {
                fleet.sides[index] = usize::from(mask >> index & 1);
            }
        }
        Fault::Delay(millis) => fleet.max_delay = Duration::from_millis(millis),
        Fault::Duplicate(percent) => fleet.duplicated_percent = percent,
        Fault::Heal => fleet.sides.fill(0),
        Fault::Leave(index) => {
            let index = index % size;
            fleet.event(index, MembershipEvent::Leave);
            fleet.event(index, MembershipEvent::Stop);
            fleet.crash(index);
        }
        Fault::Lose(percent) => fleet.lost_percent = percent,
        Fault::Pause(index, seconds) => fleet.pause(index % size, Duration::from_secs(seconds)),
        Fault::Restart(index) => fleet.start_node(index % size),
        Fault::RestartWithOldClock(index) => fleet.start_node_as(index % size, Incarnation(1)),
        Fault::Store(up) => fleet.store_up = up,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(SEEDS))),
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_agree_after_any_faults(
        size in 3_usize..=12,
        zone_count in 1_usize..=3,
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0_u64..8_000), 1..24),
    ) {
        let mut fleet = Fleet::converged(size, zone_count, seed);
        for (fault, wait_ms) in &faults {
            inject(&mut fleet, fault);
            fleet.run(Duration::from_millis(*wait_ms));
        }
        fleet.max_delay = Duration::from_millis(40);
        fleet.duplicated_percent = 0;
        fleet.sides.fill(0);
        fleet.lost_percent = 0;
        fleet.store_up = true;
        let periods = fleet.periods_until(PERIODS_TO_AGREE, Fleet::agrees);
        prop_assert!(periods.is_some(), "views differ:\n{}", fleet.describe());
    }
}
