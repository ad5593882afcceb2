use std::time::Duration;

use medlarspool_calls::CallSettings;

use crate::{CallsDeployment, CallsFault, CallsPolicies};

/// The inputs of one modelled run.
#[derive(Clone, Debug)]
pub struct CallsScenario {
    /// The modelled services, upstreams, entries and zones.
    pub deployment: CallsDeployment,
    /// The fault that occurs in the run, which may be none.
    pub fault: CallsFault,
    /// The load in percent of the rate that the upstreams can run.
    pub load_percent: u32,
    /// The policies of choice, queue and retries that are compared.
    pub policies: CallsPolicies,
    /// The seed of all random draws.
    pub seed: u64,
    /// The daemon's settings of a call; the run changes those whose part of the choice is disabled.
    pub settings: CallSettings,
    /// For how long requests arrive.
    pub traffic_duration: Duration,
}

impl CallsScenario {
    /// Returns when the fault begins, from the start of the run.
    #[must_use]
    pub fn fault_at(&self) -> Duration {
        self.traffic_duration / 2
    }

    /// Returns when the measured time begins, from the start of the run: with the fault, or after a fifth
    /// of the run if the load is the same throughout.
    #[must_use]
    pub fn counted_from(&self) -> Duration {
        match self.fault {
            CallsFault::None | CallsFault::Flood => self.traffic_duration / 5,
            _ => self.fault_at(),
        }
    }
}
