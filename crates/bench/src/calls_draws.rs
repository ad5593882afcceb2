use std::time::Duration;

use fastrand::Rng;
use medlarspool_calls::Idempotency;

use crate::{CallsFault, CallsScenario};

/// The number of customers; customer 0 is the one that floods.
const CUSTOMER_COUNT: u32 = 4;
/// One in this many requests is not idempotent.
const NON_IDEMPOTENT_ONE_IN: u32 = 5;

/// The random draws of the model, all from one seeded generator.
#[derive(Debug)]
pub(crate) struct CallsDraws {
    pub(crate) random: Rng,
}

impl CallsDraws {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: Rng::with_seed(seed),
        }
    }

    /// Draws a request's customer: any with the same probability or, in a flood, customer 0 unless the request
    /// is one of the other customers', which send a tenth of the capacity each.
    pub(crate) fn customer(&mut self, scenario: &CallsScenario) -> u32 {
        if scenario.fault != CallsFault::Flood {
            return self.random.u32(..CUSTOMER_COUNT);
        }
        let quiet = self.random.u32(..scenario.load_percent) < 10 * (CUSTOMER_COUNT - 1);
        if quiet {
            self.random.u32(1..CUSTOMER_COUNT)
        } else {
            0
        }
    }

    /// Draws from the exponential distribution with mean 1.
    pub(crate) fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.f64()).ln()
    }

    /// Draws the time until a service's next request arrives.
    pub(crate) fn interarrival_time(
        &mut self,
        scenario: &CallsScenario,
        service: usize,
    ) -> Duration {
        let load = f64::from(scenario.load_percent) / 100.0;
        let rate = scenario.deployment.runs_per_second(service) * load;
        Duration::from_secs_f64(self.exponential() / rate)
    }

    pub(crate) fn idempotency(&mut self) -> Idempotency {
        match self.random.u32(..NON_IDEMPOTENT_ONE_IN) {
            0 => Idempotency::NonIdempotent,
            _ => Idempotency::Idempotent,
        }
    }
}
