use std::{future::Future, panic::AssertUnwindSafe, time::Duration};

use futures_util::FutureExt;
use tokio::{task::spawn_local, time::sleep};

/// The delay before a task that panicked is started again: shorter than three intervals of reports, after which other
/// daemons count this one as silent, and long enough for a task that panics each time to leave time for requests.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task in the background until it ends; starts it again after a panic.
pub(crate) fn spawn_background<F: Future<Output = ()>>(
    name: &'static str,
    start: impl Fn() -> F + 'static,
) {
    spawn_local(async move {
        // `start` runs inside the async block, so that its own panics are contained, too.
        while AssertUnwindSafe(async { start().await })
            .catch_unwind()
            .await
            .is_err()
        {
            log::warn!(event = "task-panicked", task = name; "");
            sleep(RESTART_DELAY).await;
            log::info!(event = "task-restarted", task = name; "");
        }
    });
}
