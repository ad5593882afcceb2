/// How often a promise of the fleet was tested and how often it was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromiseCount {
    /// The number of tests in which it was broken.
    pub broken: u64,
    /// The promise in words, as it is printed in the report.
    pub promise: &'static str,
    /// The number of events that could have broken it, such as requests, checks or stops.
    pub tested: u64,
}

impl std::fmt::Display for PromiseCount {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            broken,
            promise,
            tested,
        } = self;
        write!(
            formatter,
            "{promise:<42} tested {tested:>7} broken {broken:>4}"
        )
    }
}
