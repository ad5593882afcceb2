//! What a daemon believes of the target beside it, through late, repeated and forgotten announcements.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_mesh::{AnnouncedState, Announcement, OwnTarget, TargetRecord};
use rstest::rstest;

fn heard(id: &str, born_ms: u64, sequence: u64, state: AnnouncedState) -> Announcement {
    Announcement {
        address: None,
        born_ms,
        cold_remaining: Duration::ZERO,
        id: id.into(),
        sequence,
        service: (state != AnnouncedState::Gone).then(|| "skymap".into()),
        slots: 6,
        state,
    }
}

fn record(id: &str, state: AnnouncedState) -> TargetRecord {
    TargetRecord {
        born_ms: 5,
        id: id.into(),
        sequence: 3,
        service: "skymap".into(),
        slots: 6,
        state,
    }
}

#[rstest]
#[case::late_heartbeat_after_draining(
    AnnouncedState::Draining,
    heard("i-1", 5, 4, AnnouncedState::Ready)
)]
#[case::late_heartbeat_after_farewell(
    AnnouncedState::Gone,
    heard("i-1", 5, 9, AnnouncedState::Ready)
)]
#[case::earlier_life_after_farewell(
    AnnouncedState::Gone,
    heard("i-0", 4, 9, AnnouncedState::Ready)
)]
fn a_target_that_left_stays_left(#[case] left: AnnouncedState, #[case] late: Announcement) {
    let now = Instant::now();
    let mut own = OwnTarget::default();
    own.receive_announcement(now, &heard("i-1", 5, 1, AnnouncedState::Ready));
    own.receive_announcement(now, &heard("i-1", 5, 8, left));
    assert!(own.usable().is_none());
    assert!(!own.receive_announcement(now, &late));
    assert!(own.usable().is_none());
}

#[rstest]
#[case::new_id("i-2", 6)]
#[case::same_id("i-1", 6)]
fn a_new_life_is_used(#[case] id: &str, #[case] born_ms: u64) {
    let now = Instant::now();
    let mut own = OwnTarget::default();
    own.receive_announcement(now, &heard("i-1", 5, 1, AnnouncedState::Ready));
    own.receive_announcement(now, &heard("i-1", 5, 0, AnnouncedState::Gone));
    assert!(own.receive_announcement(now, &heard(id, born_ms, 1, AnnouncedState::Ready)));
    assert_eq!(own.usable().map(|target| target.born_ms), Some(born_ms));
}

#[test]
fn a_farewell_remembered_from_an_earlier_life_outweighs_a_good_probe() {
    let mut own = OwnTarget::default();
    own.restore(record("i-1", AnnouncedState::Gone));
    assert!(!own.record_healthy_probe(&Rc::from("i-1"), &Rc::from("skymap"), 6));
    assert!(own.usable().is_none());
}

#[test]
fn a_remembered_target_is_used_once_it_is_heard() {
    let mut own = OwnTarget::default();
    own.restore(record("i-1", AnnouncedState::Ready));
    assert!(own.usable().is_none());
    assert!(own.receive_announcement(Instant::now(), &heard("i-1", 5, 4, AnnouncedState::Ready)));
    assert!(own.usable().is_some());
}

#[test]
fn a_remembered_target_is_used_once_a_probe_finds_it() {
    let mut own = OwnTarget::default();
    own.restore(record("i-1", AnnouncedState::Ready));
    assert!(own.record_healthy_probe(&Rc::from("i-1"), &Rc::from("skymap"), 6));
    assert!(own.usable().is_some());
}

#[test]
fn a_farewell_to_a_daemon_that_knows_nothing_yet_is_kept() {
    let now = Instant::now();
    let mut own = OwnTarget::default();
    assert!(own.receive_announcement(now, &heard("i-1", 0, 0, AnnouncedState::Gone)));
    own.restore(record("i-1", AnnouncedState::Ready));
    assert!(!own.record_healthy_probe(&Rc::from("i-1"), &Rc::from("skymap"), 6));
    assert!(!own.receive_announcement(now, &heard("i-1", 5, 4, AnnouncedState::Ready)));
    assert!(own.usable().is_none());
}

#[test]
fn a_late_heartbeat_after_a_farewell_that_told_no_start_changes_nothing() {
    let now = Instant::now();
    let mut own = OwnTarget::default();
    own.receive_announcement(now, &heard("i-1", 0, 0, AnnouncedState::Gone));
    assert!(!own.receive_announcement(now, &heard("i-1", 5, 4, AnnouncedState::Ready)));
    let later = now + Duration::from_secs(11);
    assert!(own.receive_announcement(later, &heard("i-1", 9, 1, AnnouncedState::Ready)));
}
