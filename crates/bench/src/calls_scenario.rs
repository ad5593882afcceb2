use std::time::Duration;

use medlarspool_calls::CallSettings;

use crate::{CallsDeployment, CallsFault, CallsPolicies};

/// One modelled run.
#[derive(Clone, Debug)]
pub struct CallsScenario {
    /// The deployment.
    pub deployment: CallsDeployment,
    /// What goes wrong.
    pub fault: CallsFault,
    /// Calls offered, in percent of what the upstreams can run.
    pub load_percent: u32,
    /// The decisions.
    pub policies: CallsPolicies,
    /// Seeds all randomness.
    pub seed: u64,
    /// The limits of the decisions.
    pub settings: CallSettings,
    /// How long calls arrive.
    pub traffic_duration: Duration,
}

impl CallsScenario {
    /// When the fault begins.
    #[must_use]
    pub fn fault_at(&self) -> Duration {
        self.traffic_duration / 2
    }

    /// When counting begins.
    #[must_use]
    pub fn counted_from(&self) -> Duration {
        match self.fault {
            CallsFault::None | CallsFault::Flood => self.traffic_duration / 5,
            _ => self.fault_at(),
        }
    }
}
