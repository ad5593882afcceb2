use std::rc::Rc;

/// The number of ranks that an account's priority distinguishes among its routes; less urgent ones count as the last.
pub(crate) const RANKS_PER_PRIORITY: u32 = 10;

/// The priority of an account that sets none: less urgent than every priority that accounts are expected to set.
const LOWEST_PRIORITY: u32 = 9;

/// A client's account, as the operator configures it.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// How many requests may exceed the rate at once; 0 unless it is set.
    pub burst: f64,
    /// The name, which targets are told.
    pub name: Rc<str>,
    /// The priority of its requests, where 0 is the most urgent; none if the operator set none.
    pub priority: Option<u32>,
    /// The requests per second that all daemons together may run; 0 means that there is no limit.
    pub rate_per_s: f64,
}

impl Account {
    /// Returns the rank of a request at the gates: the account's priority goes before the rank of the route.
    #[must_use]
    pub fn rank(&self, route_rank: u32) -> u32 {
        combined_rank(self.priority.unwrap_or(LOWEST_PRIORITY), route_rank)
    }

    /// Returns the rank of a call that a target makes: it works for a request that a gate has started in the order of
    /// that one's account, so it counts as one of the most urgent account.
    #[must_use]
    pub fn rank_of_call(route_rank: u32) -> u32 {
        combined_rank(0, route_rank)
    }

    /// Returns the rank of a client's request to a public route, where no account is known: the route's rank stands for
    /// the priority as well.
    #[must_use]
    pub fn rank_without_account(route_rank: u32) -> u32 {
        combined_rank(route_rank, route_rank)
    }
}

fn combined_rank(priority: u32, route_rank: u32) -> u32 {
    priority
        .saturating_mul(RANKS_PER_PRIORITY)
        .saturating_add(route_rank.min(RANKS_PER_PRIORITY - 1))
}
