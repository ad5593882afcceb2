use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use medlarspool_types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

use crate::{CallSettings, CrashId, Fingerprint, QuarantineCheck, QuarantineNotice};

/// The number of crashes with evidence against a request after which it is refused.
const CRASHES_TO_REFUSE: usize = 2;

/// A gate's record of the requests that were running when an upstream of its service crashed.
///
/// A crash counts as evidence against the requests that were running; see
/// [`Quarantine::record_crash`]. A request with evidence of one crash is a suspect. Only the gate that
/// saw the crash runs it, and only one suspect at a time. So a second crash shows which request caused
/// both, and any other suspect is cleared by its first answer. A request with evidence of two crashes
/// is refused until the evidence expires. The service's other gates are notified of a crash before the
/// requests that were running are answered; see [`crate::CrashPublication`].
#[derive(Debug)]
pub struct Quarantine {
    evidence: HashMap<Fingerprint, Vec<Evidence>>,
    /// The requests with evidence, the oldest first.
    order: VecDeque<Fingerprint>,
    own_instance: InstanceId,
    settings: CallSettings,
    suspect_running: Option<Fingerprint>,
}

#[derive(Clone, Debug)]
struct Evidence {
    crash: CrashId,
    expires_at: Instant,
}

impl Quarantine {
    /// Makes the empty record of the gate on instance `own_instance`.
    #[must_use]
    pub fn new(settings: &CallSettings, own_instance: InstanceId) -> Self {
        Self {
            evidence: HashMap::new(),
            order: VecDeque::new(),
            own_instance,
            settings: settings.clone(),
            suspect_running: None,
        }
    }

    /// Decides whether this gate may run a request now.
    ///
    /// `gates` are the instances of the service that are alive, including this one. If the gate
    /// that saw the crash is not among them, all gates designate the same other one by a hash.
    #[must_use]
    pub fn check(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        gates: &[InstanceId],
    ) -> QuarantineCheck {
        let crashes = self.active_evidence(now, fingerprint);
        let Some(first) = crashes.first() else {
            return QuarantineCheck::Admit;
        };
        if crashes.len() >= CRASHES_TO_REFUSE {
            let first = crashes.iter().map(|evidence| evidence.expires_at).min();
            let retry_after = first.map_or(Duration::ZERO, |expires_at| expires_at - now);
            return QuarantineCheck::Refuse { retry_after };
        }
        match designated_gate(&first.crash.instance, fingerprint, gates) {
            Some(designated) if *designated != self.own_instance => {
                QuarantineCheck::Redirect(designated.clone())
            }
            _ if self.suspect_running.is_some() => QuarantineCheck::Busy,
            _ => QuarantineCheck::AdmitSuspect,
        }
    }

    /// Records that a suspect starts after [`QuarantineCheck::AdmitSuspect`].
    pub fn start_suspect(&mut self, fingerprint: Fingerprint) {
        self.suspect_running = Some(fingerprint);
    }

    /// Records that a request's run ended. An answer clears a request with evidence of one crash; the notice
    /// that is then returned clears it at the other gates.
    pub fn finish(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        answered: bool,
    ) -> Option<QuarantineNotice> {
        if self.suspect_running == Some(fingerprint) {
            self.suspect_running = None;
        }
        let crashes = self.active_evidence(now, fingerprint);
        if !answered || crashes.is_empty() || crashes.len() >= CRASHES_TO_REFUSE {
            return None;
        }
        let crashes = crashes.into_iter().map(|found| found.crash).collect();
        self.remove_evidence(fingerprint);
        Some(QuarantineNotice::Cleared {
            crashes,
            fingerprint,
        })
    }

    /// Records that the upstream of `crash` crashed while it ran these requests.
    ///
    /// The crash counts as evidence against the suspects among the requests or, if there is none,
    /// against all of the requests. Publish the notice before any of the requests is answered.
    pub fn record_crash(
        &mut self,
        now: Instant,
        crash: CrashId,
        running: &[Fingerprint],
    ) -> QuarantineNotice {
        let is_suspect =
            |fingerprint: &&Fingerprint| !self.active_evidence(now, **fingerprint).is_empty();
        let mut fingerprints: Vec<Fingerprint> =
            running.iter().filter(is_suspect).copied().collect();
        if fingerprints.is_empty() {
            fingerprints = running.to_vec();
        }
        let notice = QuarantineNotice::Crashed {
            crash,
            fingerprints,
        };
        self.receive(now, &notice);
        notice
    }

    /// Applies a notice, which may arrive late or more than once.
    pub fn receive(&mut self, now: Instant, notice: &QuarantineNotice) {
        match notice {
            QuarantineNotice::Cleared {
                crashes,
                fingerprint,
            } => {
                if let Some(found) = self.evidence.get_mut(fingerprint) {
                    found.retain(|evidence| !crashes.contains(&evidence.crash));
                    if found.is_empty() {
                        self.remove_evidence(*fingerprint);
                    }
                }
            }
            QuarantineNotice::Crashed {
                crash,
                fingerprints,
            } => {
                for fingerprint in fingerprints {
                    self.add_evidence(now, *fingerprint, crash);
                }
            }
        }
    }

    /// Returns the number of requests with evidence.
    #[must_use]
    pub fn len(&self) -> usize {
        self.evidence.len()
    }

    /// Returns whether there is no evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Counts a crash as evidence against a request, once. Beyond the limit on requests with evidence,
    /// the oldest are dropped.
    fn add_evidence(&mut self, now: Instant, fingerprint: Fingerprint, crash: &CrashId) {
        let expires_at = now + self.settings.crash_retention;
        if !self.evidence.contains_key(&fingerprint) {
            self.order.push_back(fingerprint);
        }
        let found = self.evidence.entry(fingerprint).or_default();
        found.retain(|evidence| evidence.expires_at > now);
        if found.len() < CRASHES_TO_REFUSE && found.iter().all(|known| known.crash != *crash) {
            found.push(Evidence {
                crash: crash.clone(),
                expires_at,
            });
        }
        while self.order.len() > self.settings.max_crash_records {
            if let Some(oldest) = self.order.pop_front() {
                self.evidence.remove(&oldest);
            }
        }
    }

    fn remove_evidence(&mut self, fingerprint: Fingerprint) {
        self.evidence.remove(&fingerprint);
        self.order.retain(|other| *other != fingerprint);
    }

    fn active_evidence(&self, now: Instant, fingerprint: Fingerprint) -> Vec<Evidence> {
        let found = self.evidence.get(&fingerprint).into_iter().flatten();
        found
            .filter(|evidence| evidence.expires_at > now)
            .cloned()
            .collect()
    }
}

/// Returns the only gate that runs a suspect: the one that saw the crash or, if it is not among
/// `gates`, the one whose hash with the fingerprint is highest. `None` if there are no gates.
fn designated_gate<'a>(
    crashed: &InstanceId,
    fingerprint: Fingerprint,
    gates: &'a [InstanceId],
) -> Option<&'a InstanceId> {
    if let Some(designated) = gates.iter().find(|gate| *gate == crashed) {
        return Some(designated);
    }
    gates.iter().max_by_key(|gate| {
        let name = format!("{fingerprint} {gate}");
        xxh3_64(name.as_bytes())
    })
}
