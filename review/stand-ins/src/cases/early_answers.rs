//! An upstream answers requests before it has read their long bodies, keeps the connection and reads on.

use std::time::Duration;

use crate::{
    cases::{Setting, Verdict, pause},
    client::{Client, ClientRequest, Outcome, Sending},
    config::{RouteSpec, config_text},
    fleet::Fleet,
};

const HOST: &str = "sightings.example";
const MACHINES: usize = 3;
const ATTEMPTS: usize = 10;

/// The length of a request's body; `max_body_bytes` is 64 MiB.
const BODY_BYTES: usize = 32 << 20;

/// How often the rule lets a machine end a kept connection without an answer.
const MAX_UNANSWERED: usize = 3;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let services = vec!["sightings"; MACHINES];
    let route = |prefix, is_safe| RouteSpec {
        hostname: HOST,
        is_safe,
        prefix,
        service: "sightings",
    };
    let routes = [route("/read/", true), route("/submit/", false)];
    let config = config_text(1, &["sightings"], &routes);
    let has_trouble = setting.has_trouble;
    let response_bytes = std::env::var("RESPONSE_BYTES").ok();
    let response_bytes = response_bytes.and_then(|text| text.parse().ok());
    let mut fleet = Fleet::start(record, &setting.root, &services, &config, |options| {
        if has_trouble {
            options.early_mark = "/submit/".into();
        }
        options.response_bytes = response_bytes.unwrap_or(60_000);
    })?;
    let body = vec![b'b'; BODY_BYTES];
    let mut unanswered = 0;
    for attempt in 0..ATTEMPTS {
        let machine = &fleet.machines[attempt % MACHINES];
        let mut client = Client::new(machine.outbound());
        let read = send(&mut client, record, &machine.name, attempt, "GET", &[]);
        if !read.is_served() {
            return Err(format!("a read was not served: {read}"));
        }
        let submitted = send(&mut client, record, &machine.name, attempt, "POST", &body);
        unanswered += usize::from(!matches!(submitted, Outcome::Answered(_)));
        pause(Duration::from_millis(300))?;
    }
    for machine in &mut fleet.machines {
        if !machine.is_daemon_alive() || machine.has_upstream_ended() {
            return Err(format!("a process of {} has ended", machine.name));
        }
    }
    let ran = fleet.runs.lock().unwrap();
    let ran = ran
        .iter()
        .filter(|run| run.path.starts_with("/submit/"))
        .count();
    let text = format!(
        "{ATTEMPTS} requests on kept connections, {ran} run and answered by a sound upstream, \
         {unanswered} connections closed without a complete answer, {MAX_UNANSWERED} are allowed"
    );
    Ok(if unanswered > MAX_UNANSWERED {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

fn send(
    client: &mut Client,
    record: &crate::record::Record,
    machine: &str,
    attempt: usize,
    method: &str,
    body: &[u8],
) -> Outcome {
    let path = if method == "GET" {
        format!("/read/{attempt}")
    } else {
        format!("/submit/{attempt}")
    };
    let id = format!("{attempt:08x}-{}", method.to_ascii_lowercase());
    record.line(&format!(
        "sent {id} {method} {path} with {} bytes to {machine}",
        body.len()
    ));
    let outcome = client.send(&ClientRequest {
        body,
        deadline_ms: 3_000,
        host: HOST,
        id: &id,
        method,
        path: &path,
        sending: Sending::AtOnce,
    });
    record.say(&format!("answered {id} {outcome}"));
    outcome
}
