//! Which requests are refused since they crash targets, how long crashes count, and which ones daemons tell each other.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use medlarspool_mesh::{CrashEvidence, CrashList, ReportedCrash};
use rstest::rstest;

const CRASH_LIFETIME: Duration = Duration::from_mins(10);
const FINGERPRINT: u64 = 1;
const MAX_TRACKED_REQUESTS: u64 = 512;

/// Returns a crash, at this moment, by which the request is suspected.
fn crash(fingerprint: u64, id: u64, evidence: CrashEvidence) -> ReportedCrash {
    ReportedCrash {
        age: Duration::ZERO,
        evidence,
        fingerprint,
        id,
    }
}

/// Records a first crash of a request, and another one by which it is refused.
fn quarantine(crashes: &mut CrashList, now: Instant, fingerprint: u64, first_id: u64) {
    crashes.record(now, crash(fingerprint, first_id, CrashEvidence::Ran));
    let is_new = crashes.record(now, crash(fingerprint, first_id + 1, CrashEvidence::Sole));
    assert!(is_new);
}

#[test]
fn a_request_whose_crashes_expired_is_quarantined_again() {
    let mut crashes = CrashList::default();
    let start = Instant::now();
    quarantine(&mut crashes, start, FINGERPRINT, 1);
    assert!(crashes.is_quarantined(start, FINGERPRINT));
    let later = start + CRASH_LIFETIME;
    assert!(!crashes.is_quarantined(later, FINGERPRINT));
    quarantine(&mut crashes, later, FINGERPRINT, 3);
    assert!(crashes.is_quarantined(later, FINGERPRINT));
}

/// Guards against a request that crashes two targets each time that its refusal ends.
#[test]
fn a_request_that_was_refused_stays_suspected_and_is_refused_for_longer() {
    let mut crashes = CrashList::default();
    let start = Instant::now();
    quarantine(&mut crashes, start, FINGERPRINT, 1);
    let later = start + CRASH_LIFETIME;
    assert!(crashes.is_suspect(later, FINGERPRINT));
    crashes.record(later, crash(FINGERPRINT, 3, CrashEvidence::Sole));
    let almost_all = (2 * CRASH_LIFETIME).saturating_sub(Duration::from_secs(1));
    assert!(crashes.is_quarantined(later + almost_all, FINGERPRINT));
    assert!(!crashes.is_quarantined(later + 2 * CRASH_LIFETIME, FINGERPRINT));
}

/// Crashes of many harmless requests, such as those that ran beside a crashing one, must not keep the list from
/// noticing the next crashing request.
#[test]
fn a_full_list_still_quarantines_a_new_request() {
    let mut crashes = CrashList::default();
    let start = Instant::now();
    for other in 0..MAX_TRACKED_REQUESTS {
        crashes.record(start, crash(1_000 + other, other, CrashEvidence::Ran));
    }
    let later = start + Duration::from_secs(1);
    quarantine(&mut crashes, later, FINGERPRINT, 10_001);
    assert!(crashes.is_quarantined(later, FINGERPRINT));
    assert!(u64::try_from(crashes.len()).unwrap() <= MAX_TRACKED_REQUESTS);
}

/// Requests that are already refused are kept when the list is full.
#[test]
fn a_full_list_keeps_quarantined_requests() {
    let mut crashes = CrashList::default();
    let start = Instant::now();
    quarantine(&mut crashes, start, FINGERPRINT, 1);
    for other in 0..MAX_TRACKED_REQUESTS {
        let now = start + Duration::from_secs(1);
        crashes.record(now, crash(1_000 + other, 10 + other, CrashEvidence::Ran));
    }
    assert!(crashes.is_quarantined(start + Duration::from_secs(2), FINGERPRINT));
}

/// Guards against usual requests that are refused everywhere, since they ran at several targets when these crashed.
#[rstest]
#[case::at_many_crashes_at_once(&[CrashEvidence::Ran; 6], false)]
#[case::once_among_suspects(&[CrashEvidence::Ran, CrashEvidence::Shared], false)]
#[case::only_suspect(&[CrashEvidence::Ran, CrashEvidence::Sole], true)]
#[case::twice_among_suspects(&[CrashEvidence::Ran, CrashEvidence::Shared, CrashEvidence::Shared], true)]
fn a_request_is_refused_once_crashes_show_that_it_caused_one(
    #[case] evidence: &[CrashEvidence],
    #[case] is_refused: bool,
) {
    let mut crashes = CrashList::default();
    let now = Instant::now();
    for (id, evidence) in (1..).zip(evidence) {
        crashes.record(now, crash(FINGERPRINT, id, *evidence));
    }
    assert_eq!(crashes.is_quarantined(now, FINGERPRINT), is_refused);
}

/// Guards against a request that is refused again by late reports of crashes of which it was cleared.
#[test]
fn a_request_that_was_answered_stays_cleared_of_earlier_crashes() {
    let mut crashes = CrashList::default();
    let now = Instant::now();
    quarantine(&mut crashes, now, FINGERPRINT, 1);
    assert!(crashes.clear(now, FINGERPRINT));
    crashes.record(now, crash(FINGERPRINT, 1, CrashEvidence::Ran));
    crashes.record(now, crash(FINGERPRINT, 2, CrashEvidence::Sole));
    assert!(!crashes.is_suspect(now, FINGERPRINT));
    // Another daemon that refuses it is told.
    let mut others = CrashList::default();
    quarantine(&mut others, now, FINGERPRINT, 1);
    for told in crashes.to_report(now, 40, None) {
        others.record(now, told);
    }
    assert!(!others.is_suspect(now, FINGERPRINT));
}

#[test]
fn requests_are_told_apart_by_the_crashes_that_they_share() {
    let mut crashes = CrashList::default();
    let now = Instant::now();
    for (fingerprint, id) in [(1, 10), (2, 10), (2, 11), (3, 11)] {
        crashes.record(now, crash(fingerprint, id, CrashEvidence::Ran));
    }
    assert!(crashes.share_crash(now, 1, 2));
    assert!(crashes.share_crash(now, 3, 2));
    assert!(!crashes.share_crash(now, 1, 3));
    crashes.clear(now, 2);
    assert!(!crashes.share_crash(now, 1, 2));
}

/// Guards against crashes that count for longer each time that a daemon that starts learns of them.
#[test]
fn the_age_of_a_crash_is_kept_on_its_way_from_daemon_to_daemon() {
    let start = Instant::now();
    let mut first = CrashList::default();
    quarantine(&mut first, start, FINGERPRINT, 1);
    let later = start + CRASH_LIFETIME.saturating_sub(Duration::from_secs(1));
    let mut second = CrashList::default();
    for told in first.to_report(later, 40, None) {
        second.record(later, told);
    }
    assert!(second.is_quarantined(later, FINGERPRINT));
    assert!(!second.is_quarantined(start + CRASH_LIFETIME, FINGERPRINT));
}

/// Guards against suspects that no report names, since others sort before them each time.
#[rstest]
#[case::full_reports(None)]
#[case::regular_reports(Some(Duration::from_secs(5)))]
fn every_suspect_of_many_crashes_is_in_some_report(#[case] period: Option<Duration>) {
    const CRASHES: u64 = 8;
    const ROOM: usize = 40;
    const REPORTS: usize = 10;
    const SLOTS: u64 = 18;
    let mut crashes = CrashList::default();
    let now = Instant::now();
    for fingerprint in 0..CRASHES * SLOTS {
        let id = fingerprint / SLOTS;
        crashes.record(now, crash(fingerprint, id, CrashEvidence::Ran));
    }
    let earliest = period.and_then(|period| now.checked_sub(period));
    // Each daemon gets every second report.
    let mut told = [HashSet::new(), HashSet::new()];
    for report in 0..REPORTS {
        let list = crashes.to_report(now, ROOM, earliest);
        let ids: HashSet<u64> = list.iter().map(|crash| crash.id).collect();
        assert!(list.len() + 2 * ids.len() <= ROOM, "{list:?}");
        told[report % 2].extend(list.iter().map(|crash| crash.fingerprint));
    }
    let all: HashSet<u64> = told.iter().flatten().copied().collect();
    assert_eq!(all.len(), 144);
    for told in told {
        assert!(told.len() > 60, "{}", told.len());
    }
}

/// Guards against a daemon that starts and isn't told of a request that is refused, since there are many suspects.
#[test]
fn requests_that_are_refused_are_in_each_report() {
    let mut crashes = CrashList::default();
    let now = Instant::now();
    for other in 0..400 {
        crashes.record(now, crash(1_000 + other, 100 + other, CrashEvidence::Ran));
    }
    quarantine(&mut crashes, now, FINGERPRINT, 1);
    for _ in 0..20 {
        let told = crashes.to_report(now, 40, None);
        let of_refused = told.iter().filter(|it| it.fingerprint == FINGERPRINT);
        assert_eq!(of_refused.count(), 2);
    }
}
