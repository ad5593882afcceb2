use std::time::Duration;

/// Bounds the transfers that a daemon gives at once, so that joiners can't starve its calls.
#[derive(Debug)]
pub(crate) struct TransferAdmission {
    in_flight: usize,
    max_in_flight: usize,
}

impl TransferAdmission {
    /// How long a refused peer stays away.
    pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(250);

    pub(crate) const fn new(max_in_flight: usize) -> Self {
        Self {
            in_flight: 0,
            max_in_flight,
        }
    }

    /// Takes a place if one is free.
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
