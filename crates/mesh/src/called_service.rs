use std::rc::Rc;

/// The share of failed calls beyond which a run that needs them is more likely to fail than not.
const MAX_FAILED_SHARE: f64 = 0.5;

/// A service that the runs of a route call.
#[derive(Clone, Debug, PartialEq)]
pub struct CalledService {
    /// How many calls a run makes in the mean.
    pub calls_per_run: f64,
    /// The share of the latest calls that failed, from 0 to 1; 0 while the runs of the route succeed nonetheless.
    pub failed_share: f64,
    /// The service that is called.
    pub service: Rc<str>,
}

impl CalledService {
    /// Returns whether calls to the service fail so often that another run would most likely fail, too.
    #[must_use]
    pub fn fails_mostly(&self) -> bool {
        self.failed_share > MAX_FAILED_SHARE
    }
}
