use fastrand::Rng;

/// A fault that an overnight run injects. The bench prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum OvernightFault {
    /// A daemon is killed and restarted.
    DaemonKilled,
    /// A daemon is shut down gracefully (a planned stop) and restarted.
    DaemonStopped,
    /// A daemon's process is suspended and later resumed, which the daemon does not notice by itself.
    DaemonPaused,
    /// About a third of the daemons are killed and restarted together.
    HerdKilled,
    /// A store write takes effect but its answer is lost.
    StoreAnswerLost,
    /// The store does not answer.
    StoreDown,
    /// The store answers with a delay.
    StoreSlow,
    /// An upstream is killed and restarted.
    UpstreamKilled,
    /// An upstream announces that it is leaving and is replaced by another process.
    UpstreamLeaves,
}

impl OvernightFault {
    /// All faults, in the order that the seeded shuffle starts from.
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

    /// Returns the steps of a run: each round has every fault once, in random order, some in pairs.
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
