use crate::{TargetLimit, account::RANKS_PER_PRIORITY};

/// The number of ranks that a load distinguishes; the last one includes all less urgent ranks.
const RANK_COUNT: usize = 3;

/// The number of priorities of accounts that a load distinguishes from all less urgent ones.
const PRIORITY_COUNT: usize = 2;

/// How many numbers a load has at least, and how many it has with `waiting_beyond_priority`.
const NUMBER_COUNTS: (usize, usize) = (8, 10);

/// The load of a target, as counted by its gate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// The share of recent runs that failed or that the target refused, in 256ths.
    pub failed_runs_of_256: u32,
    /// What the gate knows of the limit that the target names.
    pub limit: TargetLimit,
    /// How long the link of the target's machine needs for the response of a download, in milliseconds; 0 if that
    /// isn't known or there are no downloads.
    pub mean_response_ms: u32,
    /// How long the link of the target's machine needs for the queued bytes of responses, in milliseconds.
    pub queued_response_ms: u32,
    /// The number of requests that the target runs.
    pub running_count: u32,
    /// The number of queued calls that other targets make while they run requests.
    pub waiting_calls: u32,
    /// The number of queued requests of accounts that are less urgent than priority 0, and than priority 1; both are 0
    /// in deployments without accounts.
    pub waiting_beyond_priority: [u32; PRIORITY_COUNT],
    /// How long a request of the least urgent rank would wait, in microseconds.
    pub wait_us: u32,
    /// The number of requests queued at the gate, by rank: each element counts its rank and all more urgent ones.
    pub waiting_up_to_rank: [u32; RANK_COUNT],
}

impl TargetLoad {
    /// Returns the numbers for `waiting_up_to_rank`; `waiting_count` returns the number of queued requests that
    /// are as urgent as a rank or more.
    pub fn count_waiting(waiting_count: impl Fn(u32) -> usize) -> [u32; RANK_COUNT] {
        let saturated = |rank| u32::try_from(waiting_count(rank)).unwrap_or(u32::MAX);
        [saturated(0), saturated(1), saturated(u32::MAX)]
    }

    /// Returns the numbers for `waiting_beyond_priority`; `waiting_count` returns the number of queued requests that
    /// are as urgent as a rank or more.
    pub fn count_beyond_priorities(waiting_count: impl Fn(u32) -> usize) -> [u32; PRIORITY_COUNT] {
        let all = waiting_count(u32::MAX);
        [1, 2].map(|priority| {
            let up_to_priority = waiting_count(RANKS_PER_PRIORITY * priority - 1);
            u32::try_from(all.saturating_sub(up_to_priority)).unwrap_or(u32::MAX)
        })
    }

    /// Returns the number of queued requests that are as urgent as this rank or more; of a rank that isn't
    /// distinguished, the number for the next less urgent one that is.
    #[must_use]
    pub fn waiting_count(&self, rank: u32) -> u32 {
        let [first, second, all] = self.waiting_up_to_rank;
        let [beyond_first_priority, beyond_second_priority] = self.waiting_beyond_priority;
        match (rank, rank / RANKS_PER_PRIORITY) {
            (0, _) => first,
            (1, _) => second,
            (_, 0) => all.saturating_sub(beyond_first_priority),
            (_, 1) => all.saturating_sub(beyond_second_priority),
            (_, _) => all,
        }
    }

    /// Returns the load as numbers, in the order in which daemons send it. The first eight are
    /// always there, the next two are left out if both are 0, and the further ones if all after them are 0, too.
    #[must_use]
    pub fn to_numbers(self) -> Vec<u32> {
        let [first, second, all] = self.waiting_up_to_rank;
        let mut numbers = vec![
            self.running_count,
            self.wait_us,
            self.failed_runs_of_256,
            first,
            second,
            all,
            self.waiting_calls,
            self.limit.to_number(),
        ];
        numbers.extend(self.waiting_beyond_priority);
        numbers.extend([self.queued_response_ms, self.mean_response_ms]);
        let (least_count, count_with_priorities) = NUMBER_COUNTS;
        while numbers.len() > count_with_priorities && numbers.last() == Some(&0) {
            numbers.pop();
        }
        if numbers.len() == count_with_priorities
            && self.waiting_beyond_priority == [0; PRIORITY_COUNT]
        {
            numbers.truncate(least_count);
        }
        numbers
    }

    /// Reads a load from its numbers; missing ones count as 0, and further ones are ignored.
    #[must_use]
    pub fn from_numbers(numbers: impl IntoIterator<Item = u32>) -> Self {
        let mut numbers = numbers.into_iter();
        let mut next = || numbers.next().unwrap_or_default();
        Self {
            running_count: next(),
            wait_us: next(),
            failed_runs_of_256: next(),
            waiting_up_to_rank: [next(), next(), next()],
            waiting_calls: next(),
            limit: TargetLimit::from_number(next()),
            waiting_beyond_priority: [next(), next()],
            queued_response_ms: next(),
            mean_response_ms: next(),
        }
    }
}
