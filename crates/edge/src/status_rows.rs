use std::{collections::BTreeMap, rc::Rc, time::Duration};

use medlarspool_adapter::{
    STATUS_TABLE, StoreCall, StoreRow, StoreWrite, encode_status, rollout_key,
};
use medlarspool_mesh::StoreEra;
use tokio::time::sleep;

use crate::{app::App, status_write::StatusWrite, store_client::backoff, store_error::StoreError};

/// The time over which the daemons of a fleet read the status rows again after the store came back from an older
/// copy.
const ERA_READ_SPREAD: Duration = Duration::from_millis(800);

/// The versions of all status rows, by key, as they were last seen in an era of the store.
struct RowVersions {
    era: StoreEra,
    versions: BTreeMap<String, u64>,
}

/// Reads the status rows of rollouts at the start, and again when the store came back from an older copy.
pub(crate) async fn follow_statuses(app: Rc<App>) {
    loop {
        let raised = app.store.era_watch.raised.notified();
        let mut failures = 0;
        while read_rows(&app).await.is_none() {
            sleep(backoff(failures)).await;
            failures += 1;
        }
        raised.await;
        app.core.with(|node, _| node.forget_statuses_read());
        sleep(ERA_READ_SPREAD.mul_f64(fastrand::f64())).await;
    }
}

/// Reads all status rows and applies them; returns their versions, or none if the store didn't answer.
async fn read_rows(app: &Rc<App>) -> Option<RowVersions> {
    let mut after_key = None;
    let mut rows: Vec<StoreRow> = Vec::new();
    let era = loop {
        let call = StoreCall::Get {
            after_key,
            table: STATUS_TABLE,
        };
        let answer = app.store.call(&app.metrics, &call).await.ok()?;
        let has_more = answer.has_more && !answer.rows.is_empty();
        rows.extend(answer.rows);
        match rows.last() {
            Some(last) if has_more => after_key = Some(last.key.clone()),
            _ => break answer.position.era,
        }
    };
    app.core
        .with(|node, cx| node.learn_statuses(cx, &rows, era));
    let present = rows.into_iter().filter(|row| !row.deleted);
    Some(RowVersions {
        era,
        versions: present.map(|row| (row.key, row.version)).collect(),
    })
}

/// Writes the status rows that this daemon has to write as the decider.
///
/// Each write holds only if the row still has the version that was last seen, so that of two daemons that take
/// themselves for the decider only one writes a verdict. After a write without an answer, which may have been
/// performed, the rows are read before another one is made.
pub(crate) async fn write_statuses(app: Rc<App>) {
    let mut known: Option<RowVersions> = None;
    let mut failures = 0;
    loop {
        app.status_write_due.notified().await;
        while let Some(write) = app.core.with(|node, cx| node.next_status_write(cx.now())) {
            let era = app.store.era();
            known = known.filter(|rows| rows.era == era);
            let Some(rows) = &mut known else {
                known = read_rows(&app).await;
                if known.is_none() {
                    sleep(backoff(failures)).await;
                    failures += 1;
                }
                continue;
            };
            match write_row(&app, rows, &write).await {
                Ok(()) => failures = 0,
                Err(error) => {
                    // After 429 and 503 the row was not written, and the versions still hold.
                    if !matches!(
                        error,
                        StoreError::Conflict(_) | StoreError::Status(429 | 503)
                    ) {
                        known = None;
                    }
                    log::info!(event = "rollout-status-unwritten", service = &*write.service, state = write.state.to_string().as_str(), error = error.to_string().as_str(); "");
                    sleep(backoff(failures)).await;
                    failures += 1;
                }
            }
        }
    }
}

/// Writes a status row if it is as it was last seen. If it isn't, adopts what it says now.
async fn write_row(
    app: &Rc<App>,
    rows: &mut RowVersions,
    write: &StatusWrite,
) -> Result<(), StoreError> {
    let key = rollout_key(&write.service);
    let value = encode_status(write.state, &write.to);
    let call = StoreCall::Write(StoreWrite {
        expected_version: Some(rows.versions.get(&key).copied().unwrap_or_default()),
        key: key.clone(),
        part: "",
        table: STATUS_TABLE,
        value: value.clone(),
    });
    match app.store.call(&app.metrics, &call).await {
        Ok(answer) => {
            let version = answer.position.version;
            rows.versions.insert(key.clone(), version);
            let row = StoreRow {
                key,
                value,
                version,
                ..StoreRow::default()
            };
            log::info!(event = "rollout-status", service = &*write.service, state = write.state.to_string().as_str(), version = version; "");
            app.core
                .with(|node, cx| node.learn_status_row(cx, &row, answer.position.era));
            Ok(())
        }
        Err(StoreError::Conflict(present)) => {
            let era = app.store.era();
            rows.versions.remove(&key);
            for row in &present {
                rows.versions.insert(row.key.clone(), row.version);
                app.core
                    .with(|node, cx| node.learn_status_row(cx, row, era));
            }
            Err(StoreError::Conflict(present))
        }
        Err(error) => Err(error),
    }
}
