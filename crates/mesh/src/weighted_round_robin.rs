use crate::WeightedService;

/// Distributes the requests of a route to its services so that any sequence of requests follows the weights.
///
/// This is smooth weighted round robin: at each request every service's credit grows by its weight, and the
/// service with the highest credit gets the request and loses the sum of all weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Creates a distribution that is `steps` requests into its cycle. A random number of steps keeps the
    /// daemons of a fleet from choosing the same service at the same time.
    #[must_use]
    pub fn advanced_by(services: &[WeightedService], steps: usize) -> Self {
        let mut round_robin = Self::default();
        for _ in 0..steps {
            round_robin.next(services);
        }
        round_robin
    }

    /// Returns the index of the service that gets the next request.
    pub fn next(&mut self, services: &[WeightedService]) -> usize {
        self.credit.resize(services.len(), 0);
        let total: i64 = services
            .iter()
            .map(|service| i64::from(service.weight))
            .sum();
        for (credit, service) in self.credit.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
        }
        let chosen = (0..services.len())
            .max_by_key(|&index| (self.credit[index], std::cmp::Reverse(index)))
            .unwrap_or_default();
        self.credit[chosen] -= total;
        chosen
    }
}
