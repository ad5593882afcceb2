use std::{rc::Rc, time::Duration};

use medlarspool_adapter::{CONFIG_TABLE, StoreCall};
use tokio::time::sleep;

use crate::{
    app::App,
    boot_clock::boot_time,
    config_sync::{KnownTable, apply_answer},
    node::Node,
    store_client::backoff,
    store_error::StoreError,
};

/// Asks peers for confirmations of the configuration, and wakes [`call_store_when_late`] if they don't suffice.
///
/// Ends at once in deployments where keys don't expire.
pub(crate) async fn ask_peers(app: Rc<App>) {
    loop {
        let step = app.core.with(|node, cx| {
            let step = node.confirmation_step(cx.now())?;
            if step.asks_peer {
                node.ask_for_confirmation(cx.now(), step.is_late);
            }
            node.log_permission();
            Some(step)
        });
        let Some(step) = step else { return };
        if step.store_call_within.is_some() {
            app.confirmation_late.notify_one();
        }
        let is_unconfirmed = app.core.with(|node, _| node.confirmation_age().is_none());
        tokio::select! {
            () = sleep(step.next_after) => {}
            // A daemon that has just started can be confirmed as soon as it has a configuration.
            () = app.config_arrived.notified(), if is_unconfirmed => {}
        }
    }
}

/// Calls the store for a confirmation each time that this daemon is late, in addition to its feed, which may be held
/// on a connection that has become silent.
pub(crate) async fn call_store_when_late(app: Rc<App>) {
    let mut failures = 0;
    loop {
        app.confirmation_late.notified().await;
        if let Some(spread) = store_call_within(&app)
            && !spread.is_zero()
        {
            sleep(spread.mul_f64(fastrand::f64())).await;
        }
        // An answer may have arrived meanwhile.
        if store_call_within(&app).is_none() {
            failures = 0;
            continue;
        }
        if call_store(&app).await {
            failures = 0;
        } else {
            sleep(backoff(failures)).await;
            failures += 1;
        }
        app.core.with(|node, _| node.log_permission());
    }
}

/// Returns the time over which calls to the store are spread; none if this daemon needn't call it.
fn store_call_within(app: &Rc<App>) -> Option<Duration> {
    let step = app.core.with(|node, cx| node.confirmation_step(cx.now()));
    step.and_then(|step| step.store_call_within)
}

/// Asks the store for changes of the configuration since the latest transaction that is known, or for all of it;
/// returns whether it answered.
async fn call_store(app: &Rc<App>) -> bool {
    app.store.drop_idle_connections();
    let stored = app.core.with(|node, _| node.confirmation.age.stored());
    let known = stored
        .filter(|stored| stored.position.era == app.store.era())
        .map(|stored| KnownTable {
            config_version: Some(stored.version),
            position: stored.position,
        });
    let call = match known {
        Some(known) => StoreCall::Feed {
            after: known.position.version,
            table: CONFIG_TABLE,
            wait: Duration::ZERO,
        },
        None => StoreCall::Get {
            after_key: None,
            table: CONFIG_TABLE,
        },
    };
    let sent_at = boot_time();
    match app.store.call(&app.metrics, &call).await {
        Ok(answer) => {
            if apply_answer(app, sent_at, known, &answer).is_none() {
                app.core.with(forget_stored);
            }
            true
        }
        Err(StoreError::HistoryDropped) => {
            app.core.with(forget_stored);
            true
        }
        Err(_) => false,
    }
}

fn forget_stored(node: &mut Node, _: stakker::CX![Node]) {
    node.confirmation.age.forget_stored();
}
