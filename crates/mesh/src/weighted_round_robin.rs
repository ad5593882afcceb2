use crate::WeightedService;

/// The units of the greatest weight, 2^52. The other weights are rounded to units of the same size.
const MAX_UNITS: f64 = 4_503_599_627_370_496.0;

/// The requests after which a service that random credits put too far behind or ahead is where it should be.
const START_REQUESTS: usize = 16;

/// Distributes the requests of a route to its services so that any sequence of requests follows the weights.
///
/// This is smooth weighted round robin: at each request every service's credit grows by its weight, and the
/// service with the highest credit gets the request and loses the sum of all weights. Weights and credits are whole
/// numbers of units, so that no rounding adds up.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    credit: Vec<i128>,
    total: i128,
    weights: Vec<i128>,
}

impl WeightedRoundRobin {
    /// Creates a distribution in the state that it has after a random number of requests; `draw` returns random numbers
    /// from 0 to less than 1. If all weights are 0, the services have equal shares.
    ///
    /// Daemons of a fleet then choose a service at different times, and those that send few requests choose one with a
    /// small weight as often as all of them together should.
    #[must_use]
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
    pub fn starting_at_random(services: &[WeightedService], mut draw: impl FnMut() -> f64) -> Self {
        let weights = whole_weights(services);
        let total: i128 = weights.iter().sum();
        let half_total = total as f64 / 2.0;
        // After many requests the credits of all services but one are anywhere in a range as wide as the total, and the
        // credits of all of them add up to 0.
        let credit = weights.iter().map(|weight| match weight {
            0 => 0,
            _ => ((draw() * 2.0 - 1.0) * half_total) as i128,
        });
        let mut round_robin = Self {
            credit: credit.collect(),
            total,
            weights,
        };
        round_robin.balance();
        for _ in 0..START_REQUESTS {
            round_robin.choose_next();
        }
        round_robin
    }

    /// Changes the credits so that they add up to 0: that of the last service by less than the total, and others by the
    /// total.
    fn balance(&mut self) {
        let sum = self.credit.iter().sum::<i128>();
        let with_weight = |index: &usize| self.weights[*index] > 0;
        let indices = || (0..self.weights.len()).filter(with_weight);
        if let Some(last) = indices().next_back() {
            self.credit[last] -= sum % self.total;
        }
        for _ in 0..(sum / self.total).unsigned_abs() {
            let by_credit = |index: &usize| self.credit[*index];
            let (index, change) = if sum > 0 {
                (indices().max_by_key(by_credit), -self.total)
            } else {
                (indices().min_by_key(by_credit), self.total)
            };
            if let Some(index) = index {
                self.credit[index] += change;
            }
        }
    }

    /// Returns the index of the service that gets the next request.
    pub fn choose_next(&mut self) -> usize {
        for (credit, weight) in self.credit.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let chosen = (0..self.credit.len())
            .max_by_key(|&index| (self.credit[index], std::cmp::Reverse(index)))
            .unwrap_or_default();
        self.credit[chosen] -= self.total;
        chosen
    }
}

/// Returns the weights as whole numbers in the same proportions. A weight that isn't 0 has a unit at least.
#[allow(clippy::cast_possible_truncation)]
fn whole_weights(services: &[WeightedService]) -> Vec<i128> {
    let greatest = services
        .iter()
        .fold(0.0_f64, |greatest, service| greatest.max(service.weight));
    let units = |weight: f64| match weight / greatest * MAX_UNITS {
        _ if greatest == 0.0 => 1,
        _ if weight == 0.0 => 0,
        units => (units.round() as i128).max(1),
    };
    services
        .iter()
        .map(|service| units(service.weight))
        .collect()
}
