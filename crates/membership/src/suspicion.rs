use std::time::{Duration, Instant};

use medlarspool_types::Incarnation;

/// The independent confirmations after which a suspicion is as short as it gets.
const MAX_CONFIRMATIONS: u32 = 3;

/// How much longer an unconfirmed suspicion lasts than a confirmed one.
const MAX_DURATION_FACTOR: u32 = 3;

/// The time that a suspect has for refuting.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    accusers: Vec<u32>,
    /// Whether the suspect is being asked for the last time.
    pub(crate) last_probe_sent: bool,
    base: Duration,
    /// When the suspect is asked for the last time.
    pub(crate) deadline: Instant,
    pub(crate) incarnation: Incarnation,
    started: Instant,
}

impl Suspicion {
    pub(crate) fn new(
        incarnation: Incarnation,
        accuser: u32,
        base: Duration,
        now: Instant,
    ) -> Self {
        Self {
            accusers: vec![accuser],
            last_probe_sent: false,
            base,
            deadline: now + base * MAX_DURATION_FACTOR,
            incarnation,
            started: now,
        }
    }

    /// Returns whether the suspect has had time to refute, so that others may be believed its death.
    ///
    /// Where a cut heals, deaths are told of the living before they have heard that they are accused.
    pub(crate) fn had_time_to_refute(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.base / 2
    }

    /// Returns the accuser heard last, whom this daemon names when it passes the accusation on.
    pub(crate) fn accuser(&self) -> u32 {
        self.accusers.last().copied().unwrap_or_default()
    }

    /// Counts an accuser and returns whether it confirms the suspicion as another one.
    pub(crate) fn confirm(&mut self, accuser: u32) -> bool {
        let confirmations = u32::try_from(self.accusers.len()).unwrap_or(MAX_CONFIRMATIONS) - 1;
        if self.accusers.contains(&accuser) || confirmations >= MAX_CONFIRMATIONS {
            return false;
        }
        self.accusers.push(accuser);
        let remaining = MAX_CONFIRMATIONS - confirmations - 1;
        let extension = self.base * (MAX_DURATION_FACTOR - 1) * remaining / MAX_CONFIRMATIONS;
        self.deadline = self.deadline.min(self.started + self.base + extension);
        true
    }
}

/// Returns how long a confirmed suspicion lasts: it grows with the logarithm of the fleet, because
/// the accusation and its refutation need that many rounds, and is never shorter than a lease.
pub(crate) fn base_duration(members: usize, period: Duration, lease: Duration) -> Duration {
    let rounds = members.max(2).ilog2();
    (period * 2 * rounds / 3).max(lease)
}
