use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_adapter::headers;
use tokio::time::sleep;

use crate::{
    app::App,
    fetch::fetch,
    target_headers::{read_target_headers, says_it_leaves},
};

/// How long a restarted daemon waits for a heartbeat of its target before it probes it.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(50);

/// The longest wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval between checks for what a probe needs: the record of the target restored from the store or a
/// peer, and the configuration, which has the path to probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The most checks for the configuration. No probe is sent after them, since a healthy target has
/// sent a heartbeat by then.
const MAX_CONFIG_CHECKS: usize = 40;

/// The most checks for whether the target's record was restored; after these the target is probed even without
/// a record.
const MAX_RESTORED_TARGET_CHECKS: usize = 40;

/// Finds the target after a restart of this daemon by one probe, unless the target announces itself first.
pub(crate) async fn probe_target(app: Rc<App>) {
    sleep(HEARTBEAT_WAIT).await;
    wait_for_restored_target(&app).await;
    for _ in 0..MAX_CONFIG_CHECKS {
        let path = app.core.with(|node, _| {
            let config = node.config.as_ref()?;
            config.health_paths.get(&node.settings.service).cloned()
        });
        let is_target_usable = app.core.with(|node, _| node.own_target.usable().is_some());
        match path {
            _ if is_target_usable => return,
            Some(path) => return probe(&app, &path).await,
            None => sleep(CHECK_INTERVAL).await,
        }
    }
}

/// Waits until the target's record was restored from the store or a peer, or the store has none: a target that
/// deregistered may still answer a probe as healthy.
async fn wait_for_restored_target(app: &Rc<App>) {
    for _ in 0..MAX_RESTORED_TARGET_CHECKS {
        let is_restored = app.core.with(|node, _| node.own_target.record().is_some());
        if app.rows_were_read.get() || is_restored {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Probes the target's health path; a healthy target becomes usable with the id and slots in its response.
async fn probe(app: &Rc<App>, path: &str) {
    app.metrics.probes.inc();
    let address = app.settings.target_address;
    let sent_at = Instant::now();
    // The connection is not pooled: the response has no id, by which a second copy of it would be recognised.
    let Some(response) = fetch(address, path, PROBE_TIMEOUT).await else {
        return;
    };
    let id = response.headers.text(headers::TARGET_ID);
    if says_it_leaves(&response.headers) {
        return;
    }
    let slots = response
        .headers
        .text(headers::TARGET_LOAD)
        .and_then(medlarspool_adapter::decode_slots);
    if let (200, Some(id), Some(slots)) = (response.status, id, slots) {
        app.core.with(|node, cx| {
            let service = node.settings.service.clone();
            if node
                .own_target
                .record_healthy_probe(&id.into(), &service, slots)
            {
                log::info!(event = "target-probed", target = id; "");
                node.apply_target_change(cx);
            }
        });
        read_target_headers(app, id, sent_at, &response.headers);
    }
}

/// Probes the target each time that it has not confirmed its limit by a response for a while, since a target that
/// takes hardly any requests can't say in their responses that it takes more again.
///
/// If the probe's response names no limit, one request may be sent at once, whose response shows whether the limit
/// still holds.
pub(crate) async fn confirm_limit(app: Rc<App>) {
    loop {
        app.limit_unconfirmed.notified().await;
        let path_and_id = app.core.with(|node, cx| {
            // A probe that has ended meanwhile may have confirmed it.
            if !node.queue.limiter.is_unconfirmed(cx.now()) {
                return None;
            }
            let config = node.config.as_ref()?;
            let path = config.health_paths.get(&node.settings.service)?.clone();
            Some((path, node.own_target.usable()?.id.clone()))
        });
        let Some((path, target_id)) = path_and_id else {
            continue;
        };
        app.metrics.probes.inc();
        let sent_at = Instant::now();
        let address = app.settings.target_address;
        // The connection is not pooled, see `probe`.
        let Some(response) = fetch(address, &path, PROBE_TIMEOUT).await else {
            continue;
        };
        if response.headers.get(headers::TARGET_LIMIT).is_some() {
            read_target_headers(&app, &target_id, sent_at, &response.headers);
        } else {
            app.core.with(|node, cx| {
                node.queue.limiter.allow_trial(Instant::now());
                node.schedule_report(cx);
                node.grant_slots(cx);
            });
        }
    }
}
