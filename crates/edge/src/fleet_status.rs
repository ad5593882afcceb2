use std::rc::Rc;

use medlarspool_mesh::{AnnouncedState, Peer};
use serde_json::{Value, json};

use crate::{app::App, refused_config::RefusedConfig, units::millis};

/// Returns what this daemon knows of the whole fleet, in the form that `medlarspool status` reads.
///
/// Daemons are identified by the IP addresses of their instances, since their reports have no other name.
pub(crate) fn fleet_status(app: &Rc<App>) -> Value {
    app.core.with(|node, cx| {
        let now = cx.now();
        let instances: Vec<Value> = node
            .directory
            .peers()
            .map(|(address, peer)| {
                json!({
                    "availability_zone": &*peer.record().availability_zone,
                    "heard_ms_ago": peer.silent_for(now).map_or(0, millis),
                    "instance": address.ip().to_string(),
                    "state": daemon_state(node.directory.is_alive(now, *address), peer),
                    "upstream": target_state(peer),
                    "version": peer.record().config_version,
                })
            })
            .collect();
        let mut status = json!({
            "instances": instances,
            "newest": node.directory.newest_config_version(now),
            "refused_config": node.refused_config.as_ref().map(RefusedConfig::to_json),
        });
        if let Some(rollouts) = node.rollouts_json(now) {
            status["rollouts"] = rollouts;
        }
        status
    })
}

fn daemon_state(is_alive: bool, peer: &Peer) -> &'static str {
    match (is_alive, peer.record().serving) {
        (false, _) => "silent",
        (true, true) => "alive",
        // It has no usable target, or is in a planned stop.
        (true, false) => "idle",
    }
}

fn target_state(peer: &Peer) -> &'static str {
    match &peer.record().target {
        None => "absent",
        Some(target) => match target.state {
            AnnouncedState::Draining => "leaving",
            AnnouncedState::Gone => "absent",
            AnnouncedState::Ready if peer.record().serving => "serving",
            AnnouncedState::Ready => "down",
        },
    }
}
