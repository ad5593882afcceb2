use std::rc::Rc;

use serde_json::json;

use crate::{app::App, incoming::Incoming, line_log, reply::Reply, units::millis};

/// Serves operators: `/metrics`, and `/dump` with all that the daemon believes.
pub(crate) async fn serve_operator(app: Rc<App>, incoming: Incoming) -> Reply {
    match &*incoming.head.target {
        b"/dump" => {
            Reply::with_body(200, dump(&app)).with_header("Content-Type", "application/json")
        }
        b"/metrics" => {
            gather(&app);
            match app.metrics.text() {
                Ok(text) => Reply::with_body(200, text)
                    .with_header("Content-Type", "text/plain; version=0.0.4"),
                Err(error) => {
                    log::error!(event = "metrics", error = error.to_string().as_str(); "");
                    Reply::status(500)
                }
            }
        }
        _ => Reply::status(404),
    }
}

fn gather(app: &Rc<App>) {
    app.core.with(|node, cx| {
        let alive = node.directory.alive(cx.now());
        app.metrics
            .peers_alive
            .set(i64::try_from(alive).unwrap_or(i64::MAX));
        let load = node.load();
        app.metrics.target_running.set(load.running.into());
        app.metrics
            .target_waiting
            .set(load.waiting(u32::MAX).into());
    });
    app.metrics
        .log_lines_dropped
        .set(i64::try_from(line_log::dropped()).unwrap_or(i64::MAX));
}

fn dump(app: &Rc<App>) -> String {
    app.core.with(|node, cx| {
        let now = cx.now();
        let peers: Vec<_> = node
            .directory
            .peers()
            .map(|(address, peer)| {
                let record = peer.record();
                json!({
                    "address": address.to_string(),
                    "alive": node.directory.is_alive(now, *address),
                    "availability_zone": &*record.availability_zone,
                    "in_flight": peer.in_flight,
                    "running": record.load.running,
                    "serving": record.serving,
                    "service": record.target.as_ref().map(|target| target.service.to_string()),
                    "silent_ms": peer.silent_for(now).map(millis),
                    "target": record.target.as_ref().map(|target| target.id.to_string()),
                    "waiting": record.load.waiting(u32::MAX),
                })
            })
            .collect();
        let load = node.load();
        json!({
            "config_version": node.config.as_ref().map(|config| config.version),
            "incarnation": node.incarnation,
            "instance": &*node.settings.instance,
            "peers": peers,
            "serving": node.serving,
            "target": node.own.record().map(|target| json!({
                "born_ms": target.born_ms,
                "id": &*target.id,
                "running": load.running,
                "sequence": target.sequence,
                "slots": target.slots,
                "state": target.state.to_string(),
                "usable": node.own.usable().is_some(),
                "waiting": load.waiting(u32::MAX),
            })),
        })
        .to_string()
    })
}
