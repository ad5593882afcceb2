/// Compared runs of the new version: how many of them were bad, and how many would have been by the old version's
/// share of bad runs at the same time. Numbers are fractions, since runs near the limit of slowness count in part and
/// older runs may count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) bad: f64,
    pub(crate) expected_bad: f64,
    /// The logarithm of how many times likelier the runs are from a bad version than from noise.
    pub(crate) log_odds: f64,
    pub(crate) runs: f64,
    pub(crate) variance: f64,
}

impl Tally {
    pub(crate) fn add(&mut self, other: &Self) {
        self.bad += other.bad;
        self.expected_bad += other.expected_bad;
        self.log_odds += other.log_odds;
        self.runs += other.runs;
        self.variance += other.variance;
    }

    pub(crate) fn subtract(&mut self, other: &Self) {
        self.bad -= other.bad;
        self.expected_bad -= other.expected_bad;
        self.log_odds -= other.log_odds;
        self.runs -= other.runs;
        self.variance -= other.variance;
    }

    /// Lets the runs so far count less than later ones.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.bad *= factor;
        self.expected_bad *= factor;
        self.log_odds *= factor;
        self.runs *= factor;
        self.variance *= factor * factor;
    }

    /// Returns the bad runs beyond those that the old version would have had.
    pub(crate) fn excess(&self) -> f64 {
        self.bad - self.expected_bad
    }

    /// Returns by how many standard deviations the excess is above `margin` bad runs for each run.
    pub(crate) fn confidence(&self, margin: f64) -> f64 {
        (self.excess() - margin * self.runs) / self.variance.max(f64::MIN_POSITIVE).sqrt()
    }
}
