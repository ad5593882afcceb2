use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_adapter::{StoreCall, StoreRow, StoreWrite};
use medlarspool_hop::{Report, ReportError};
use tokio::time::{sleep, timeout};

use crate::{app::App, contain::contain, full_report_kind::FullReportKind, store_client::backoff};

/// The table in the store that holds one row for each daemon.
const PEERS_TABLE: &str = "peers";

/// The mean wait before the rows are read a second time: all daemons may start within 0.3 s of each other,
/// and two that both read before the other wrote its row would not know each other.
const SECOND_READ_AFTER: Duration = Duration::from_millis(500);

/// A daemon that knows so many others learns of the rest from their reports, and reads the rows only once.
const WELL_CONNECTED_COUNT: usize = 32;

/// How long the first write of the own row waits for the first read of the rows.
const FIRST_READ_WAIT: Duration = Duration::from_secs(2);

/// The mean interval between later reads of the rows; reports announce changes sooner, unless daemons that started
/// at the same time didn't learn of each other from the rows or from others.
const READ_INTERVAL: Duration = Duration::from_mins(2);

/// How old a copy from which the store comes back may be. A row that was written longer ago is in it.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);

/// The time over which the daemons of a fleet write their rows again after the store came back from an older copy.
const ERA_WRITE_SPREAD: Duration = Duration::from_millis(800);

/// The mean interval at which a daemon that started recently reads the rows while it knows no other one that is alive:
/// the store may have come back from a copy without the others' rows, which they are about to write again.
const LONELY_READ_INTERVAL: Duration = Duration::from_secs(3);

/// How long a write of the own row waits for further changes.
const CHANGE_GATHER_TIME: Duration = Duration::from_millis(150);

/// Keeps this daemon's row in the store up to date.
///
/// The row of an earlier incarnation is read first, since it may record that the target deregistered.
pub(crate) async fn keep_row(app: Rc<App>) {
    if timeout(FIRST_READ_WAIT, app.rows_read.notified())
        .await
        .is_err()
    {
        log::info!(event = "rows-unread"; "");
    }
    loop {
        write_row(&app).await;
        let written_at = Instant::now();
        loop {
            tokio::select! {
                () = app.row_changed.notified() => {
                    sleep(CHANGE_GATHER_TIME).await;
                    break;
                }
                () = app.store.era_watch.raised.notified() => {
                    if written_at.elapsed() < MAX_COPY_AGE {
                        sleep(ERA_WRITE_SPREAD.mul_f64(fastrand::f64())).await;
                        log::info!(event = "row-written-again", era = app.store.era().0; "");
                        break;
                    }
                }
            }
        }
    }
}

/// Writes this daemon's row; retries until the store has accepted it.
async fn write_row(app: &Rc<App>) {
    let mut failures = 0;
    loop {
        let sender = app.core.with(|node, cx| node.next_record(cx.now()));
        let key = sender.address.to_string();
        let call = StoreCall::Write(StoreWrite {
            expected_version: None,
            key,
            part: "",
            table: PEERS_TABLE,
            value: Report::of(sender).encode(),
        });
        if app.store.call(&app.metrics, &call).await.is_ok() {
            if !app.row_was_written.replace(true) {
                app.leases_changed.notify_one();
            }
            return;
        }
        sleep(backoff(failures)).await;
        failures += 1;
    }
}

/// Removes this daemon's row when its instance leaves the fleet, which is when the daemon stops without a usable
/// target.
pub(crate) async fn remove_row(app: &Rc<App>) {
    let key = app.settings.peer_address.to_string();
    let call = StoreCall::Remove {
        key,
        table: PEERS_TABLE,
    };
    if let Err(error) = app.store.call(&app.metrics, &call).await {
        log::info!(event = "row-kept", error = error.to_string().as_str(); "");
    }
}

/// Reads the daemons' rows at the start and then at random intervals.
pub(crate) async fn poll_daemon_rows(app: Rc<App>) {
    let started_at = Instant::now();
    let mut wait = SECOND_READ_AFTER;
    let mut invalid_rows = HashMap::new();
    loop {
        let mut failures = 0;
        while !read_all_rows(&app, &mut invalid_rows).await {
            sleep(backoff(failures)).await;
            failures += 1;
        }
        app.rows_read.notify_waiters();
        if !app.rows_were_read.replace(true) && app.settings.rollouts.is_some() {
            app.core.with(|node, _| node.wake_target_waiters());
        }
        sleep(wait.mul_f64(0.75 + fastrand::f64() * 0.5)).await;
        let (known_count, alive_count) = app.core.with(|node, cx| {
            let alive_count = node.directory.alive_count(cx.now());
            (node.directory.peers().count(), alive_count)
        });
        if wait < READ_INTERVAL && known_count >= WELL_CONNECTED_COUNT {
            sleep(READ_INTERVAL.mul_f64(0.75 + fastrand::f64() * 0.5)).await;
        }
        wait = if alive_count > 1 || started_at.elapsed() > MAX_COPY_AGE {
            READ_INTERVAL
        } else {
            LONELY_READ_INTERVAL
        };
    }
}

/// Reads all rows page by page; returns whether the store answered.
///
/// `invalid_rows` has the rows that can't be used and were logged, with their versions, so that a row is logged once
/// and not at each read.
async fn read_all_rows(app: &Rc<App>, invalid_rows: &mut HashMap<String, u64>) -> bool {
    let mut after_key = None;
    loop {
        let call = StoreCall::Get {
            after_key,
            table: PEERS_TABLE,
        };
        let Ok(rows) = app.store.call(&app.metrics, &call).await else {
            return false;
        };
        for row in &rows.rows {
            match decode_row(row) {
                Ok(report) => {
                    invalid_rows.remove(&row.key);
                    // A row that causes a panic must not hide the others.
                    contain(|| apply_row(app, report));
                }
                Err(error) => {
                    let logged = invalid_rows.insert(row.key.clone(), row.version);
                    if logged != Some(row.version) {
                        log::warn!(event = "row-invalid", key = row.key.as_str(), error = error.to_string().as_str(); "");
                    }
                }
            }
        }
        match rows.rows.last() {
            Some(last) if rows.has_more => after_key = Some(last.key.clone()),
            _ => return true,
        }
    }
}

/// Decodes a row, whose key has to be the address of the daemon that it is about.
fn decode_row(row: &StoreRow) -> Result<Report, ReportError> {
    let report = Report::decode(&row.value)?;
    if row.key == report.sender.address.to_string() {
        Ok(report)
    } else {
        Err(ReportError::OtherSender(row.key.clone()))
    }
}

/// Applies a row: restores the own target and raises the incarnation from this daemon's own row, or adds another
/// daemon that is not known yet and asks it for a full report.
fn apply_row(app: &Rc<App>, report: Report) {
    let address = report.sender.address;
    app.core.with(|node, cx| {
        if address == app.settings.peer_address {
            if let Some(target) = report.sender.target
                && node.own_target.restore(target)
            {
                node.apply_target_change(cx);
            }
            if report.sender.incarnation > node.incarnation {
                // The clock was set back since the earlier incarnation.
                node.incarnation = report.sender.incarnation.saturating_add(1);
                node.apply_incarnation(cx);
            }
        } else if node.directory.insert_stored(cx.now(), report.sender) {
            node.send_full_report(cx.now(), address, FullReportKind::Request);
        }
    });
}
