use crate::WeightedService;

/// Deals a route's requests to its parts, so that any run of them keeps the weights.
///
/// Smooth weighted round robin: each part gains its weight at each turn, and the richest pays all of
/// them and takes the request.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Starts at a random point of the cycle, so that the daemons of a fleet don't move in step.
    #[must_use]
    pub fn advanced_by(services: &[WeightedService], steps: usize) -> Self {
        let mut round_robin = Self::default();
        for _ in 0..steps {
            round_robin.next(services);
        }
        round_robin
    }

    /// Returns the index of the part that takes the next request.
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
