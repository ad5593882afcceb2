use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// How long an entry goes by its own estimate after a gate refused a request of an account. An account of which every
/// request is refused then asks a gate four times a second at each entry; an account that sends fewer always asks.
const RETENTION: Duration = Duration::from_millis(250);

/// The recent refusals of accounts' requests by busy gates, by which an entry decides whether it asks a gate although
/// the load that the gate reported is too high.
///
/// A gate's load doesn't tell accounts apart. Where one account fills the queues, the load says that all requests
/// wait too long, but the gate would start those of other accounts earlier.
#[derive(Clone, Debug, Default)]
pub struct AccountRefusals {
    /// When a gate refused the last one, by account and service.
    refused_at: HashMap<(Rc<str>, Rc<str>), Instant>,
}

impl AccountRefusals {
    /// Returns whether a request of the account is worth a question to a gate of the service that seems too busy:
    /// whether no gate has refused one recently.
    #[must_use]
    pub fn may_ask(&self, now: Instant, account: &Rc<str>, service: &Rc<str>) -> bool {
        let refused_at = self.refused_at.get(&(account.clone(), service.clone()));
        refused_at.is_none_or(|at| !is_recent(now, *at))
    }

    /// Records that a gate of the service was too busy for a request of the account.
    pub fn record(&mut self, now: Instant, account: &Rc<str>, service: &Rc<str>) {
        if self.refused_at.len() == self.refused_at.capacity() {
            self.refused_at.retain(|_, at| is_recent(now, *at));
        }
        self.refused_at
            .insert((account.clone(), service.clone()), now);
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < RETENTION
}
