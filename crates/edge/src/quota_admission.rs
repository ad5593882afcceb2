use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_hop::RefusalReason;
use medlarspool_mesh::{QuotaCredit, QuotaCredits};
use tokio::time::timeout;

use crate::{app::App, client_account::ClientAccount, failure::Failure, quota_step::QuotaStep};

/// How long a request waits before it looks for a lost question; a little more than an answer's timeout.
const STEP_INTERVAL: Duration = Duration::from_millis(31);

/// The shortest time after which a client is told to retry: that of two hops. Others may take the next credit first.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The mean retry delay of a client whose request got no answer of a holder.
const RETRY_UNANSWERED_AFTER: Duration = Duration::from_millis(300);

/// Waits for a credit of a client's account; returns none if the account has no limit.
///
/// # Errors
///
/// Returns the refusal of a request beyond the limit. Its retry delay is between the time to the next credit and
/// twice that time.
pub(crate) async fn take_credit(
    app: &Rc<App>,
    client: &ClientAccount,
) -> Result<Option<QuotaCredit>, Failure> {
    if client.account.rate_per_s <= 0.0 {
        return Ok(None);
    }
    let name = &client.account.name;
    let waiter = app
        .core
        .with(|node, cx| node.count_account_request(cx.now(), &client.account));
    let hold_deadline = Instant::now() + QuotaCredits::MAX_HOLD;
    let retry_after = loop {
        let arrived = app.credits_arrived.notified();
        let step = app.core.with(|node, cx| node.quota_step(cx.now(), name));
        match step {
            QuotaStep::Admitted(credit) => return Ok(credit),
            QuotaStep::Refused(retry_after) => break retry_after,
            QuotaStep::Waits => {}
        }
        let remaining = hold_deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            break RETRY_UNANSWERED_AFTER;
        }
        // Both an arrival and the end of the wait lead to another look.
        let _ = timeout(remaining.min(STEP_INTERVAL), arrived).await;
    };
    drop(waiter);
    app.core
        .with(|node, cx| node.record_quota_refusal(cx.now(), name));
    Err(Failure {
        retry_after: Some(
            retry_after
                .max(MIN_RETRY_AFTER)
                .mul_f64(1.0 + fastrand::f64()),
        ),
        ..Failure::not_run(RefusalReason::OverQuota)
    })
}
