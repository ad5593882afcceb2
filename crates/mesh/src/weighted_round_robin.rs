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
    pub fn advanced_by(parts: &[WeightedService], turns: usize) -> Self {
        let mut cursor = Self::default();
        for _ in 0..turns {
            cursor.next(parts);
        }
        cursor
    }

    /// Returns the index of the part that takes the next request.
    pub fn next(&mut self, parts: &[WeightedService]) -> usize {
        self.credit.resize(parts.len(), 0);
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credit.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let richest = (0..parts.len())
            .max_by_key(|&index| (self.credit[index], std::cmp::Reverse(index)))
            .unwrap_or_default();
        self.credit[richest] -= total;
        richest
    }
}
