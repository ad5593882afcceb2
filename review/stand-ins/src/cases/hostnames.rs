//! The configuration changes: a route is added, whose host name has capitals.

use std::time::Duration;

use crate::{
    cases::{Setting, Verdict, pause},
    client::{Client, ClientRequest, Sending},
    config::{RouteSpec, config_text},
    fleet::Fleet,
};

const MACHINES: usize = 3;
const REQUESTS: usize = 60;

/// `config_apply_s` of the settings, and a margin.
const APPLY_TIME: Duration = Duration::from_secs(4);

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let services = vec!["sightings"; MACHINES];
    let added_host = if setting.has_trouble {
        "Karoo.Example"
    } else {
        "karoo.example"
    };
    let route = |hostname, prefix| RouteSpec {
        hostname,
        is_safe: true,
        prefix,
        service: "sightings",
    };
    let first = route("map.example", "/read/");
    let config = config_text(1, &["sightings"], &[first]);
    let fleet = Fleet::start(record, &setting.root, &services, &config, |_| {})?;
    let routes = [route("map.example", "/read/"), route(added_host, "/read/")];
    let added = config_text(2, &["sightings"], &routes);
    fleet.store.put("op", "config", &added);
    record.say(&format!(
        "version 2 of the configuration adds the host {added_host}"
    ));
    pause(APPLY_TIME)?;
    let mut not_found = 0;
    let mut served = [0, 0];
    for number in 0..REQUESTS {
        let machine = &fleet.machines[number % MACHINES];
        for (index, host) in ["map.example", added_host].into_iter().enumerate() {
            let id = format!("{number:08x}-{index}");
            record.line(&format!(
                "sent {id} GET /read/{number} of {host} to {}",
                machine.name
            ));
            let outcome = Client::new(machine.outbound()).send(&ClientRequest {
                body: &[],
                deadline_ms: 3_000,
                host,
                id: &id,
                method: "GET",
                path: &format!("/read/{number}"),
                sending: Sending::AtOnce,
            });
            record.line(&format!("answered {id} {outcome}"));
            served[index] += usize::from(outcome.is_served());
            not_found += usize::from(outcome.status() == 404);
        }
    }
    let text = format!(
        "of {REQUESTS} requests each, {} were served for the first host and {} for the added one; {not_found} got 404",
        served[0], served[1]
    );
    Ok(if not_found > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
