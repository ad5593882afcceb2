/// How many ranks a load tells apart; the last one stands for all that are less urgent.
const RANKS: usize = 3;

/// How busy a target is, as its gate counts it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// How many runs of 256 failed or were turned away by the target lately.
    pub failed_runs_of_256: u32,
    /// The requests that the target runs.
    pub running: u32,
    /// How long a request of the least urgent rank would wait, in microseconds.
    pub wait_us: u32,
    /// The requests that wait at the gate, by rank: each entry counts its rank and the more urgent.
    pub waiting_up_to_rank: [u32; RANKS],
}

impl TargetLoad {
    /// Counts the waiting requests, `count` telling how many there are up to a rank.
    pub fn count_waiting(count: impl Fn(u32) -> usize) -> [u32; RANKS] {
        let saturated = |rank| u32::try_from(count(rank)).unwrap_or(u32::MAX);
        [saturated(0), saturated(1), saturated(u32::MAX)]
    }

    /// Returns how many requests wait that are as urgent as this rank or more.
    #[must_use]
    pub fn waiting(&self, rank: u32) -> u32 {
        let index = usize::try_from(rank).map_or(RANKS - 1, |rank| rank.min(RANKS - 1));
        self.waiting_up_to_rank[index]
    }

    /// Returns the load as numbers, as daemons tell it each other.
    #[must_use]
    pub const fn to_numbers(self) -> [u32; 6] {
        let [first, second, all] = self.waiting_up_to_rank;
        [
            self.running,
            self.wait_us,
            self.failed_runs_of_256,
            first,
            second,
            all,
        ]
    }

    /// Takes a load from its numbers; missing ones count as 0.
    #[must_use]
    pub fn from_numbers(numbers: impl IntoIterator<Item = u32>) -> Self {
        let mut numbers = numbers.into_iter();
        let mut next = || numbers.next().unwrap_or_default();
        Self {
            running: next(),
            wait_us: next(),
            failed_runs_of_256: next(),
            waiting_up_to_rank: [next(), next(), next()],
        }
    }
}
