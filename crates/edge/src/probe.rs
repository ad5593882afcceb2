use std::{rc::Rc, time::Duration};

use medlarspool_adapter::headers;
use tokio::time::sleep;

use crate::{app::App, fetch::fetch};

/// How long a daemon that was started again waits for a heartbeat before it probes its target.
const HEARTBEAT_FIRST: Duration = Duration::from_millis(50);

/// The longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the configuration, which names the path to probe, is looked for.
const CONFIG_CHECK: Duration = Duration::from_millis(50);

/// How often that is at most; after that a heartbeat must have come.
const CONFIG_CHECKS: usize = 40;

/// How often what is remembered of the target is looked for before the probe alone decides.
const MEMORY_CHECKS: usize = 40;

/// Finds the target of an earlier life of this daemon by one probe, unless it is heard before.
pub(crate) async fn probe_target(app: Rc<App>) {
    sleep(HEARTBEAT_FIRST).await;
    wait_for_memory(&app).await;
    for _ in 0..CONFIG_CHECKS {
        let path = app.core.with(|node, _| {
            let config = node.config.as_ref()?;
            config.health_paths.get(&node.settings.service).cloned()
        });
        let heard = app.core.with(|node, _| node.own.usable().is_some());
        match path {
            _ if heard => return,
            Some(path) => return probe(&app, &path).await,
            None => sleep(CONFIG_CHECK).await,
        }
    }
}

/// Waits for what the store or a peer remembers of the target: one that has said farewell may still
/// call itself healthy.
async fn wait_for_memory(app: &Rc<App>) {
    for _ in 0..MEMORY_CHECKS {
        let remembered = app.core.with(|node, _| node.own.record().is_some());
        if app.was_read.get() || remembered {
            return;
        }
        sleep(CONFIG_CHECK).await;
    }
}

async fn probe(app: &Rc<App>, path: &str) {
    app.metrics.probes.inc();
    let address = app.settings.target_address;
    let Some((answer, back)) = fetch(address, path, PROBE_TIMEOUT).await else {
        return;
    };
    if let Some(back) = back {
        app.target_pool.keep(address, back);
    }
    let id = answer.headers.text(headers::TARGET_ID);
    let slots = answer
        .headers
        .text(headers::TARGET_LOAD)
        .and_then(|load| load.split(',').nth(2)?.trim().parse().ok())
        .filter(|slots| *slots > 0);
    if let (200, Some(id), Some(slots)) = (answer.status, id, slots) {
        app.core.with(|node, cx| {
            let service = node.settings.service.clone();
            if node.own.record_healthy_probe(&id.into(), &service, slots) {
                log::info!(event = "target-probed", target = id; "");
                node.target_changed(cx);
            }
        });
    }
}
