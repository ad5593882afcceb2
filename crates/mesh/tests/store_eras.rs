//! A store that comes back from an older copy, and answers that arrive out of order.

use std::time::{Duration, Instant};

use medlarspool_mesh::{StoreEra, StoreEraTracker, StorePosition};

const MOMENT: Duration = Duration::from_millis(10);

/// Guards against an answer of the earlier era that arrives late and counts.
#[test]
fn an_answer_of_an_earlier_era_is_outdated_if_its_call_was_sent_before_the_rise() {
    let start = Instant::now();
    let mut tracker = StoreEraTracker::default();
    assert_eq!(tracker.learn(start, StoreEra(4)), None);
    assert!(!tracker.is_outdated(start, Some(StoreEra(4))));
    let raised_at = start + MOMENT;
    assert_eq!(tracker.learn(raised_at, StoreEra(5)), Some(StoreEra(4)));
    assert!(tracker.is_outdated(start, Some(StoreEra(4))));
    assert!(tracker.is_outdated(start, None));
    assert!(!tracker.is_outdated(start, Some(StoreEra(5))));
}

/// Guards against a store that is not listened to any more, since its header falls or is missing.
#[test]
fn an_answer_to_a_call_after_the_rise_holds_whatever_era_it_names() {
    let start = Instant::now();
    let mut tracker = StoreEraTracker::default();
    tracker.learn(start, StoreEra(4));
    tracker.learn(start + MOMENT, StoreEra(5));
    for named in [None, Some(StoreEra(3)), Some(StoreEra(5))] {
        assert!(!tracker.is_outdated(start + MOMENT * 2, named));
    }
    assert!(tracker.has_fallen(Some(StoreEra(3))));
    assert!(!tracker.has_fallen(None));
    assert_eq!(tracker.learn(start + MOMENT * 2, StoreEra(3)), None);
    assert_eq!(tracker.era(), Some(StoreEra(5)));
}

/// Guards against the second of two rises that follow each other.
#[test]
fn each_rise_outdates_what_was_sent_before_it() {
    let start = Instant::now();
    let mut tracker = StoreEraTracker::default();
    tracker.learn(start, StoreEra(1));
    tracker.learn(start + MOMENT, StoreEra(2));
    let between = start + MOMENT * 2;
    tracker.learn(start + MOMENT * 3, StoreEra(3));
    assert!(tracker.is_outdated(between, Some(StoreEra(2))));
    assert!(!tracker.is_outdated(between, Some(StoreEra(3))));
}

/// Guards against versions that are compared although the store gave them out twice.
#[test]
fn a_later_era_is_ahead_whatever_the_version() {
    let position = |era, version| StorePosition {
        era: StoreEra(era),
        version,
    };
    assert!(position(2, 7) > position(1, 900));
    assert!(position(2, 8) > position(2, 7));
}
