use std::{rc::Rc, time::Duration};

use crate::{RolloutOrderError, StorePosition};

/// An operator's order that the traffic of a service move to targets of another version.
///
/// See `docs/design/rollouts-and-tenants.md`, section 2.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// How long after the order there has to be a verdict.
    pub duration: Duration,
    /// The era and the version of the row that contains the order.
    pub position: StorePosition,
    /// The service whose traffic is to move.
    pub service: Rc<str>,
    /// The version to which the traffic is to move.
    pub to: Rc<str>,
}

impl RolloutOrder {
    /// Checks the values of an order's row.
    ///
    /// # Errors
    ///
    /// Returns which value is invalid. Whether the service exists is for the caller to check.
    pub fn new(
        position: StorePosition,
        service: &str,
        to: &str,
        duration_s: f64,
    ) -> Result<Self, RolloutOrderError> {
        if service.is_empty() {
            return Err(RolloutOrderError::Service(service.to_owned()));
        }
        if to.is_empty() {
            return Err(RolloutOrderError::Version(to.to_owned()));
        }
        let duration = Duration::try_from_secs_f64(duration_s)
            .ok()
            .filter(|duration| !duration.is_zero())
            .ok_or(RolloutOrderError::Duration(duration_s))?;
        Ok(Self {
            duration,
            position,
            service: service.into(),
            to: to.into(),
        })
    }

    /// Returns whether two rows are the same order. A row that was written again, because the store came back from
    /// an older copy, has another position but the same content.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.service == other.service && self.to == other.to && self.duration == other.duration
    }
}
