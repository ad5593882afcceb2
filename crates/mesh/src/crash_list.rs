use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::{CrashEvidence, ReportedCrash};

/// The weight of evidence from which on a request is refused: a run by which the only suspect at a target crashed it.
const WEIGHT_TO_QUARANTINE: u32 = 2;

/// How long a crash counts against a request. Requests that crash targets are sent again within seconds, but
/// an operator may need minutes to react.
const CRASH_LIFETIME: Duration = Duration::from_mins(10);

/// How often [`CRASH_LIFETIME`] doubles at the most, once for each time that the request is refused again.
const MAX_DOUBLINGS: u32 = 7;

/// The most requests tracked, so that many crashes at once can't exhaust the memory.
const MAX_TRACKED_REQUESTS: usize = 512;

/// How much room the name of a crash takes in a report, as a multiple of that of a request.
const ROOM_OF_CRASH: usize = 2;

/// The most crashes remembered for a request. Usual requests run at many targets that crash for other reasons.
const MAX_CRASHES_PER_REQUEST: usize = 8;

/// The requests that were running at a target when it crashed, by fingerprint.
///
/// Every crash is reported to every daemon, so a request that crashes targets is refused in the whole fleet. Which of
/// the requests at a target did it is known only when one that is suspected runs again: it either comes to its end, or
/// the target crashes once more. Until then none is refused. See `docs/design/platform.md`.
#[derive(Debug, Default)]
pub struct CrashList {
    suspects: HashMap<u64, Suspect>,
}

#[derive(Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// How often the request was refused after it had not been.
    quarantine_count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    /// When it was last learned more of the crash.
    changed_at: Instant,
    evidence: CrashEvidence,
    id: u64,
    recorded_at: Instant,
    was_reported: bool,
}

impl Suspect {
    /// Returns the crashes that still count.
    fn counting(&self, now: Instant) -> impl Iterator<Item = &Crash> {
        let lifetime = self.crash_lifetime();
        self.crashes
            .iter()
            .filter(move |crash| now.saturating_duration_since(crash.recorded_at) < lifetime)
    }

    /// Returns the crashes that still count and that no later run has cleared.
    fn open(&self, now: Instant) -> impl Iterator<Item = &Crash> {
        self.counting(now)
            .filter(|crash| crash.evidence != CrashEvidence::Cleared)
    }

    fn crash_lifetime(&self) -> Duration {
        let doublings = self.quarantine_count.saturating_sub(1).min(MAX_DOUBLINGS);
        CRASH_LIFETIME * (1 << doublings)
    }

    fn is_quarantined(&self, now: Instant) -> bool {
        let weights = self.counting(now).map(|crash| crash.evidence.weight());
        weights.sum::<u32>() >= WEIGHT_TO_QUARANTINE
    }

    /// Returns whether a crash counts against the request, or it was refused before.
    fn is_open(&self, now: Instant) -> bool {
        self.quarantine_count > 0 || self.open(now).next().is_some()
    }
}

impl CrashList {
    /// Records what a crash says about a request; each crash counts once. Returns whether the request is refused from
    /// now on and wasn't before.
    ///
    /// In a full list, the request takes the place of the one whose latest crash is the oldest, but not of one that
    /// is refused.
    pub fn record(&mut self, now: Instant, crash: ReportedCrash) -> bool {
        let ReportedCrash {
            age,
            evidence,
            fingerprint,
            id,
        } = crash;
        if !self.suspects.contains_key(&fingerprint) {
            if evidence == CrashEvidence::Cleared {
                return false;
            }
            self.make_room(now);
            if self.suspects.len() >= MAX_TRACKED_REQUESTS {
                return false;
            }
        }
        let recorded_at = now.checked_sub(age).unwrap_or(now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        let was_quarantined = suspect.is_quarantined(now);
        let lifetime = suspect.crash_lifetime();
        let crashes = &mut suspect.crashes;
        crashes.retain(|crash| now.saturating_duration_since(crash.recorded_at) < lifetime);
        let new = Crash {
            changed_at: now,
            evidence,
            id,
            recorded_at,
            was_reported: false,
        };
        match crashes.iter_mut().find(|crash| crash.id == id) {
            Some(known) if known.evidence < evidence => {
                *known = Crash {
                    recorded_at: known.recorded_at,
                    ..new
                };
            }
            Some(_) => {}
            None => {
                if crashes.len() >= MAX_CRASHES_PER_REQUEST {
                    crashes.remove(0);
                }
                crashes.push(new);
            }
        }
        if evidence == CrashEvidence::Cleared && suspect.open(now).next().is_none() {
            suspect.quarantine_count = 0;
        }
        let is_new_quarantine = !was_quarantined && suspect.is_quarantined(now);
        suspect.quarantine_count += u32::from(is_new_quarantine);
        is_new_quarantine
    }

    /// Removes requests until there is room for another one: those against which no crash counts, and then the one whose
    /// latest crash is the oldest, of those that are not refused.
    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        self.suspects
            .retain(|_, suspect| suspect.counting(now).next().is_some());
        if self.suspects.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        let latest_crash =
            |suspect: &Suspect| suspect.crashes.iter().map(|crash| crash.recorded_at).max();
        let oldest = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.is_quarantined(now))
            .min_by_key(|(_, suspect)| latest_crash(suspect));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
        }
    }

    /// Clears a request of all crashes, since a run of it was answered. Returns whether it was refused until now.
    pub fn clear(&mut self, now: Instant, fingerprint: u64) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let was_quarantined = suspect.is_quarantined(now);
        suspect.quarantine_count = 0;
        for crash in &mut suspect.crashes {
            if crash.evidence != CrashEvidence::Cleared {
                crash.changed_at = now;
                crash.evidence = CrashEvidence::Cleared;
                crash.was_reported = false;
            }
        }
        was_quarantined
    }

    /// Returns whether the request is refused.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.is_quarantined(now))
    }

    /// Returns whether the request ran at a target that crashed, and wasn't cleared.
    #[must_use]
    pub fn is_suspect(&self, now: Instant, fingerprint: u64) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.is_open(now))
    }

    /// Returns whether two requests ran at the same crash, and neither was cleared of it: one of them may have caused it.
    #[must_use]
    pub fn share_crash(&self, now: Instant, one: u64, other: u64) -> bool {
        let open = |fingerprint| self.suspects.get(&fingerprint).map(|it| it.open(now));
        let Some((mut one, other)) = open(one).zip(open(other)) else {
            return false;
        };
        let ids: Vec<u64> = other.map(|crash| crash.id).collect();
        one.any(|crash| ids.contains(&crash.id))
    }

    /// Returns the number of requests that are tracked, including those against which no crash counts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the requests that are suspected, with what each crash says about them.
    pub fn suspects(&self, now: Instant) -> impl Iterator<Item = (u64, Vec<ReportedCrash>)> {
        let is_open = move |(_, suspect): &(&u64, &Suspect)| suspect.is_open(now);
        self.suspects
            .iter()
            .filter(is_open)
            .map(move |(fingerprint, suspect)| {
                let crashes = suspect.counting(now);
                let crashes = crashes.map(|crash| reported(now, *fingerprint, crash));
                (*fingerprint, crashes.collect())
            })
    }

    /// Returns crashes that other daemons should know, of those of which something was learned since `earliest`, with
    /// room for `room` requests; naming a crash takes the room of [`ROOM_OF_CRASH`] more.
    ///
    /// Half of the room is for requests that are refused. Crashes that no report had yet come first, and of the others
    /// random ones, so that each of them is in some report to each daemon.
    pub fn to_report(
        &mut self,
        now: Instant,
        room: usize,
        earliest: Option<Instant>,
    ) -> Vec<ReportedCrash> {
        let (mut refused, mut others) = (Vec::new(), Vec::new());
        for (fingerprint, suspect) in &mut self.suspects {
            let lifetime = suspect.crash_lifetime();
            let list = if suspect.is_quarantined(now) {
                &mut refused
            } else {
                &mut others
            };
            let crashes = suspect.crashes.iter_mut().filter(|crash| {
                now.saturating_duration_since(crash.recorded_at) < lifetime
                    && earliest.is_none_or(|earliest| crash.changed_at >= earliest)
            });
            list.extend(crashes.map(|crash| (*fingerprint, crash)));
        }
        for list in [&mut refused, &mut others] {
            fastrand::shuffle(list);
            list.sort_by_key(|(_, crash)| crash.was_reported);
        }
        let mut ids = HashSet::new();
        let mut crashes: Vec<ReportedCrash> = Vec::new();
        let mut left = room;
        for (list, reserve) in [(refused, room / 2), (others, 0)] {
            for (fingerprint, crash) in list {
                let is_named = ids.contains(&crash.id);
                let needed = if is_named { 1 } else { 1 + ROOM_OF_CRASH };
                if left >= reserve + needed {
                    left -= needed;
                    ids.insert(crash.id);
                    crash.was_reported = true;
                    crashes.push(reported(now, fingerprint, crash));
                }
            }
        }
        crashes.sort_by_key(|crash| crash.id);
        crashes
    }
}

fn reported(now: Instant, fingerprint: u64, crash: &Crash) -> ReportedCrash {
    ReportedCrash {
        age: now.saturating_duration_since(crash.recorded_at),
        evidence: crash.evidence,
        fingerprint,
        id: crash.id,
    }
}
