use std::time::Instant;

use medlarspool_types::{CallId, CustomerId};

/// A request as a gate's queue sees it.
#[derive(Clone, Debug)]
pub struct GateWork {
    /// The call.
    pub call: CallId,
    /// The customer whose plan admitted it.
    pub customer: CustomerId,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// The customer's weight in the fair queue, from its plan; at least 1.
    pub weight: u32,
}
