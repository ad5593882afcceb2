use std::time::Duration;

/// The number of buckets of run times.
pub(crate) const BUCKET_COUNT: usize = 16;

/// How near to the upper end of its bucket a limit is, as a share of the bucket, for its runs not to exceed it.
const NEAR_UPPER_END: f64 = 0.25;

/// The counts of a target's runs of one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunCounts {
    /// The number of runs that failed.
    pub failures: u32,
    /// The number of runs that didn't fail, by run time: below 1 ms, then by powers of two up to 16 s and more.
    pub run_times: [u32; BUCKET_COUNT],
}

impl RunCounts {
    /// Counts a run.
    pub fn record(&mut self, run_time: Duration, failed: bool) {
        if failed {
            self.failures = self.failures.saturating_add(1);
        } else {
            let bucket = (u128::BITS - run_time.as_millis().leading_zeros()) as usize;
            let count = &mut self.run_times[bucket.min(BUCKET_COUNT - 1)];
            *count = count.saturating_add(1);
        }
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn runs(&self) -> u32 {
        self.run_times
            .iter()
            .fold(self.failures, |sum, count| sum.saturating_add(*count))
    }

    /// Adds the runs of other counts.
    pub(crate) fn add(&mut self, other: &Self) {
        self.failures = self.failures.saturating_add(other.failures);
        for (count, added) in self.run_times.iter_mut().zip(other.run_times) {
            *count = count.saturating_add(added);
        }
    }

    /// Returns the runs since earlier counts of the same target.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let mut since = *self;
        since.failures = since.failures.saturating_sub(earlier.failures);
        for (count, earlier) in since.run_times.iter_mut().zip(earlier.run_times) {
            *count = count.saturating_sub(earlier);
        }
        since
    }

    /// Returns the number of runs that didn't fail.
    pub(crate) fn successes(&self) -> u32 {
        self.runs() - self.failures
    }

    /// Returns the run time in milliseconds that this share of the runs without failure don't exceed, interpolated
    /// within its bucket; none without such runs.
    pub(crate) fn quantile_ms(&self, share: f64) -> Option<f64> {
        let successes = self.successes();
        if successes == 0 {
            return None;
        }
        let mut remaining = f64::from(successes) * share;
        for (upper_ms, count) in self.buckets() {
            if remaining <= count {
                return Some(upper_ms * (remaining / count - 1.0).exp2());
            }
            remaining -= count;
        }
        None
    }

    /// Returns how many runs without failure took longer than `limit_ms`. The bucket of the limit counts as longer
    /// unless the limit is near its upper end: between the usual run time and one several times as long there is hardly
    /// any run, so that it contains either fast runs or slow ones.
    pub(crate) fn slower_than(&self, limit_ms: f64) -> f64 {
        let slower = self.buckets().map(|(upper_ms, count)| {
            if (upper_ms / limit_ms).log2() >= NEAR_UPPER_END {
                count
            } else {
                0.0
            }
        });
        slower.sum()
    }

    /// Returns the buckets that aren't empty: the run time at the upper end in milliseconds, and the runs. The lower
    /// end is half of it.
    fn buckets(&self) -> impl Iterator<Item = (f64, f64)> {
        let ends = std::iter::successors(Some(1.0_f64), |upper_ms| Some(upper_ms * 2.0));
        ends.zip(self.run_times.map(f64::from))
            .filter(|(_, count)| *count > 0.0)
    }
}
