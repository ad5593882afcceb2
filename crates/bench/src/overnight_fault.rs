use fastrand::Rng;

/// One of the faults of a night.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum OvernightFault {
    /// A daemon is killed and started again.
    DaemonKilled,
    /// A daemon is stopped as planned and started again.
    DaemonStopped,
    /// A daemon is paused, unaware, and goes on.
    DaemonPaused,
    /// Nearly a third of the daemons are killed and return together.
    HerdKilled,
    /// A write takes effect and its answer is lost.
    StoreAnswerLost,
    /// The store is down.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// An upstream is killed and started again.
    UpstreamKilled,
    /// An upstream announces that it is leaving, and another takes its place.
    UpstreamLeaves,
}

impl OvernightFault {
    /// All faults.
    pub const ALL: [Self; 9] = [
        Self::DaemonKilled,
        Self::DaemonPaused,
        Self::DaemonStopped,
        Self::HerdKilled,
        Self::StoreAnswerLost,
        Self::StoreDown,
        Self::StoreSlow,
        Self::UpstreamKilled,
        Self::UpstreamLeaves,
    ];

    /// Returns the order of a night: every fault once in each round, shuffled, some in pairs.
    #[must_use]
    pub fn schedule(rounds: usize, seed: u64) -> Vec<Vec<Self>> {
        let mut random = Rng::with_seed(seed);
        let mut steps = Vec::new();
        for _ in 0..rounds {
            let mut faults = Self::ALL;
            random.shuffle(&mut faults);
            let mut rest = faults.as_slice();
            while let Some((first, others)) = rest.split_first() {
                let paired = others.first().filter(|_| random.u8(..3) == 0);
                rest = if paired.is_some() {
                    &others[1..]
                } else {
                    others
                };
                steps.push(
                    [Some(first), paired]
                        .into_iter()
                        .flatten()
                        .copied()
                        .collect(),
                );
            }
        }
        steps
    }
}
