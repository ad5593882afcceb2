use std::time::{Duration, Instant};

use medlarspool_types::Incarnation;

/// The independent confirmations after which a suspicion has its minimum duration.
const MAX_CONFIRMATIONS: u32 = 3;

/// The factor by which an unconfirmed suspicion lasts longer than a fully confirmed one.
const MAX_DURATION_FACTOR: u32 = 3;

/// A suspicion of one member, which the member can refute until its last probe fails.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// The hashes of the accusers' instance ids, each once and the newest last.
    accusers: Vec<u32>,
    /// Whether the last probe of the suspect is in progress.
    pub(crate) last_probe_sent: bool,
    /// How long the suspicion lasts once it is fully confirmed.
    base_duration: Duration,
    /// When the last probe of the suspect is sent, or sent again.
    pub(crate) deadline: Instant,
    pub(crate) incarnation: Incarnation,
    started_at: Instant,
}

impl Suspicion {
    pub(crate) fn new(
        incarnation: Incarnation,
        accuser: u32,
        base_duration: Duration,
        now: Instant,
    ) -> Self {
        Self {
            accusers: vec![accuser],
            last_probe_sent: false,
            base_duration,
            deadline: now + base_duration * MAX_DURATION_FACTOR,
            incarnation,
            started_at: now,
        }
    }

    /// Returns whether the suspect has had time to refute, so that a death reported by others is
    /// believed.
    ///
    /// When a partition ends, living members are reported dead before they learn that they are
    /// accused.
    pub(crate) fn had_time_to_refute(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= self.base_duration / 2
    }

    /// Returns the latest accuser, which this daemon names when it forwards the accusation.
    pub(crate) fn accuser(&self) -> u32 {
        self.accusers.last().copied().unwrap_or_default()
    }

    /// Adds an accuser and brings the deadline forward. Returns whether it was added: it is not if it is
    /// known or the suspicion is fully confirmed.
    pub(crate) fn confirm(&mut self, accuser: u32) -> bool {
        let confirmations = u32::try_from(self.accusers.len()).unwrap_or(MAX_CONFIRMATIONS) - 1;
        if self.accusers.contains(&accuser) || confirmations >= MAX_CONFIRMATIONS {
            return false;
        }
        self.accusers.push(accuser);
        let remaining = MAX_CONFIRMATIONS - confirmations - 1;
        let extension =
            self.base_duration * (MAX_DURATION_FACTOR - 1) * remaining / MAX_CONFIRMATIONS;
        self.deadline = self
            .deadline
            .min(self.started_at + self.base_duration + extension);
        true
    }
}

/// Returns how long a fully confirmed suspicion lasts. It grows with the logarithm of the number of
/// members, because the accusation and its refutation take that many rounds of gossip, and is at
/// least the lease.
pub(crate) fn base_duration(member_count: usize, period: Duration, lease: Duration) -> Duration {
    let rounds = member_count.max(2).ilog2();
    (period * 2 * rounds / 3).max(lease)
}
