use std::{rc::Rc, time::Duration};

use medlarspool_adapter::headers;
use tokio::time::sleep;

use crate::{app::App, fetch::fetch};

/// How long a daemon that was started again waits for a heartbeat before it probes its target.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(50);

/// The longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the configuration, which names the path to probe, is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How often that is at most; after that a heartbeat must have come.
const CONFIG_CHECKS: usize = 40;

/// How often what is remembered of the target is looked for before the probe alone decides.
const REMEMBERED_TARGET_CHECKS: usize = 40;

/// Finds the target of an earlier life of this daemon by one probe, unless it is heard before.
pub(crate) async fn probe_target(app: Rc<App>) {
    sleep(HEARTBEAT_WAIT).await;
    wait_for_remembered_target(&app).await;
    for _ in 0..CONFIG_CHECKS {
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

/// Waits for what the store or a peer remembers of the target: one that has said farewell may still
/// call itself healthy.
async fn wait_for_remembered_target(app: &Rc<App>) {
    for _ in 0..REMEMBERED_TARGET_CHECKS {
        let remembered = app.core.with(|node, _| node.own_target.record().is_some());
        if app.rows_were_read.get() || remembered {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn probe(app: &Rc<App>, path: &str) {
    app.metrics.probes.inc();
    let address = app.settings.target_address;
    let Some((response, reusable)) = fetch(address, path, PROBE_TIMEOUT).await else {
        return;
    };
    if let Some(reusable) = reusable {
        app.target_pool.keep(address, reusable);
    }
    let id = response.headers.text(headers::TARGET_ID);
    let slots = response
        .headers
        .text(headers::TARGET_LOAD)
        .and_then(|load| load.split(',').nth(2)?.trim().parse().ok())
        .filter(|slots| *slots > 0);
    if let (200, Some(id), Some(slots)) = (response.status, id, slots) {
        app.core.with(|node, cx| {
            let service = node.settings.service.clone();
            if node
                .own_target
                .record_healthy_probe(&id.into(), &service, slots)
            {
                log::info!(event = "target-probed", target = id; "");
                node.target_changed(cx);
            }
        });
    }
}
