use std::time::Duration;

/// Limits the transfers that a daemon serves at the same time, so that joining daemons can't starve its
/// calls.
#[derive(Debug)]
pub(crate) struct TransferAdmission {
    in_flight: usize,
    max_in_flight: usize,
}

impl TransferAdmission {
    /// The time within which a refused peer tries again.
    pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(250);

    pub(crate) const fn new(max_in_flight: usize) -> Self {
        Self {
            in_flight: 0,
            max_in_flight,
        }
    }

    /// Admits a transfer if the limit allows it, and returns whether it did.
    pub(crate) const fn admit(&mut self) -> bool {
        let free = self.in_flight < self.max_in_flight;
        if free {
            self.in_flight += 1;
        }
        free
    }

    pub(crate) const fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
