use std::{rc::Rc, time::Instant};

use medlarspool_mesh::CrashEvidence;
use serde_json::{Value, json};

use crate::{app::App, node::Node, refused_config::RefusedConfig, units::millis};

/// How many of the accounts with queued requests are shown.
const SHOWN_ACCOUNT_COUNT: usize = 10;

/// Returns the state of this daemon as JSON, for `/dump`.
pub(crate) fn state_dump(app: &Rc<App>) -> Value {
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
                    "running": record.load.running_count,
                    "serving": record.serving,
                    "service": record.target.as_ref().map(|target| target.service.to_string()),
                    "silent_ms": peer.silent_for(now).map(millis),
                    "target": record.target.as_ref().map(|target| target.id.to_string()),
                    "waiting": record.load.waiting_count(u32::MAX),
                })
            })
            .collect();
        let load = node.load(now);
        let mut dump = json!({
            "accounts": node.config.as_ref().map_or(0, |config| config.account_count()),
            "confirmation_age_ms": node.confirmation_age().map(millis),
            "config_version": node.config.as_ref().map(|config| config.version),
            "downloads": app.active_buffers().map(|buffers| json!({
                "held_bytes": buffers.held_bytes(),
                "mean_response_ms": load.mean_response_ms,
                "queued_ms": load.queued_response_ms,
            })),
            "incarnation": node.incarnation,
            "crash_suspects": crash_suspects(node, now),
            "instance": &*node.settings.instance,
            "keys_permitted": node.permits_keys(),
            "peers": peers,
            "quotas": node.quota_dump(now),
            "refused_config": node.refused_config.as_ref().map(RefusedConfig::to_json),
            "relay_elected_ms": node.elected_at.map(|at| millis(now.saturating_duration_since(at))),
            "relays_config": node.relays_config(now),
            "serving": node.serving,
            "store_era": app.store.era_watch.era().map(|era| era.0),
            "store_confirmed_ms": node.store_confirmed_at.map(|at| millis(now.saturating_duration_since(at))),
            "target": node.own_target.record().map(|target| json!({
                "born_ms": target.born_ms,
                "id": &*target.id,
                "running": load.running_count,
                "sequence": target.sequence,
                "slots": target.slots,
                "state": target.state.to_string(),
                "usable": node.own_target.usable().is_some(),
                "waiting": load.waiting_count(u32::MAX),
            })),
        });
        if node.config.as_ref().is_some_and(|config| config.account_count() > 0) {
            let queued = node.queue.busiest_accounts(SHOWN_ACCOUNT_COUNT).into_iter();
            dump["queued_accounts"] = queued
                .map(|(account, waiting)| json!({"account": &*account, "waiting": waiting}))
                .collect();
        }
        if let Some(rollouts) = node.rollouts_json(now) {
            dump["rollouts"] = rollouts;
            dump["rollouts_known"] = node.may_send(now).into();
        }
        dump
    })
}

/// Returns the requests that are suspected of crashing targets, with what each crash says about them.
fn crash_suspects(node: &Node, now: Instant) -> Vec<Value> {
    let suspects = node.crashes.suspects(now);
    suspects
        .map(|(fingerprint, crashes)| {
            let crashes = crashes.iter().map(|crash| {
                let id = format!("{:x}", crash.id);
                json!({"age_ms": millis(crash.age), "crash": id, "evidence": evidence_name(crash.evidence)})
            });
            json!({
                "crashes": crashes.collect::<Vec<_>>(),
                "fingerprint": format!("{fingerprint:x}"),
                "quarantined": node.crashes.is_quarantined(now, fingerprint),
            })
        })
        .collect()
}

const fn evidence_name(evidence: CrashEvidence) -> &'static str {
    match evidence {
        CrashEvidence::Cleared => "cleared",
        CrashEvidence::Ran => "ran",
        CrashEvidence::Shared => "shared",
        CrashEvidence::Sole => "sole",
    }
}
