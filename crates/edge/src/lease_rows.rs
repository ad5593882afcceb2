use std::{rc::Rc, time::Duration};

use medlarspool_adapter::{
    QUOTA_TABLE, StoreCall, StoreRow, StoreWrite, encode_lease, lease_key, stored_lease,
};
use medlarspool_mesh::{
    QuotaLeaseAction, QuotaLeaseCall, QuotaLeaseFailure, QuotaLeaseWrite, StoreEra,
    StoredQuotaLease,
};
use tokio::time::sleep;

use crate::{
    app::App, lease_result::LeaseResult, lease_step::LeaseStep, node::Node, store_error::StoreError,
};

/// The longest wait for the store in a planned stop.
pub(crate) const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Makes the calls to the store by which this daemon claims, renews and releases quota partitions. It does nothing while
/// there is nothing of it to do.
pub(crate) async fn keep_leases(app: Rc<App>) {
    // An earlier run of the task may have ended in a panic while it made a call.
    app.core.with(|node, _| node.abandon_lease_call());
    loop {
        let changed = app.leases_changed.notified();
        match app.core.with(Node::next_lease_step) {
            LeaseStep::Call(call) => make_call(&app, call).await,
            LeaseStep::Wait(Some(wait)) => {
                tokio::select! {
                    () = sleep(wait) => {}
                    () = changed => {}
                }
            }
            LeaseStep::Wait(None) => changed.await,
        }
    }
}

async fn make_call(app: &Rc<App>, call: QuotaLeaseCall) {
    let result = match &call.action {
        QuotaLeaseAction::Read => read_rows(app).await,
        QuotaLeaseAction::Write(writes) => write_rows(app, writes).await,
    };
    let result = result.unwrap_or_else(|error| {
        log::info!(event = "quota-rows", error = error.to_string().as_str(); "");
        LeaseResult::Failed(match error {
            StoreError::Status(429 | 503) => QuotaLeaseFailure::NotPerformed,
            _ => QuotaLeaseFailure::Unknown,
        })
    });
    app.core
        .with(|node, cx| node.apply_lease_result(cx, call.number, &result));
}

/// Reads the rows of all partitions.
async fn read_rows(app: &Rc<App>) -> Result<LeaseResult, StoreError> {
    let mut after_key = None;
    let mut rows: Vec<StoreRow> = Vec::new();
    let mut first_era: Option<StoreEra> = None;
    loop {
        let call = StoreCall::Get {
            after_key,
            table: QUOTA_TABLE,
        };
        let answer = app.store.call(&app.metrics, &call).await?;
        let era = answer.position.era;
        if *first_era.get_or_insert(era) != era {
            // The pages are of different eras.
            return Err(StoreError::EarlierEra);
        }
        let has_more = answer.has_more && !answer.rows.is_empty();
        rows.extend(answer.rows);
        match rows.last() {
            Some(last) if has_more => after_key = Some(last.key.clone()),
            _ => {
                let stored: Vec<StoredQuotaLease> = rows.iter().filter_map(stored_lease).collect();
                for lease in stored.iter().filter(|lease| lease.row.is_none()) {
                    log::warn!(event = "quota-row-invalid", partition = lease.partition.number(); "");
                }
                return Ok(LeaseResult::Read(era, stored));
            }
        }
    }
}

/// Writes rows in one transaction.
async fn write_rows(app: &Rc<App>, writes: &[QuotaLeaseWrite]) -> Result<LeaseResult, StoreError> {
    let row_writes = writes.iter().map(|write| StoreWrite {
        expected_version: Some(write.expected_version),
        key: lease_key(write.partition),
        part: "",
        table: QUOTA_TABLE,
        value: encode_lease(&write.row),
    });
    let call = StoreCall::WriteAll(row_writes.collect());
    let answer = app.store.call(&app.metrics, &call).await?;
    let position = answer.position;
    Ok(LeaseResult::Written(position.era, position.version))
}

/// Gives the partitions of this daemon back in a planned stop, as far as the store answers in time. Nothing is granted
/// from the first moment on.
pub(crate) async fn release_leases(app: &Rc<App>) {
    let give_back = async {
        app.core.with(Node::stop_leases);
        while !app.core.with(|node, _| node.are_leases_released()) {
            app.leases_released.notified().await;
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, give_back)
        .await
        .is_err()
    {
        log::info!(event = "quota-rows-kept"; "");
    }
}
