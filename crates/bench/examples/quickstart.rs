//! A small fleet in one process: three availability zones, three services, one configuration change and a
//! clean stop.

use std::{
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use medlarspool_bench::{
    DaemonSpec, LocalDaemon, UpstreamBehaviour, UpstreamSettings, free_address,
};
use medlarspool_config::{CredentialHash, Lists};
use medlarspool_platform::{Change, FakePlatform, commit};
use medlarspool_types::{ConfigVersion, IdError};

const CREDENTIAL: &str = "observer-credential";

const SERVICES: [&str; 3] = ["alerts", "sightings", "sky-map"];

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let platform = Arc::new(FakePlatform::default());
    commit_lists(&platform, "[sky-map]", 0)?;
    let daemons = start_daemons(&platform)?;
    println!(
        "{} daemons in 3 availability zones are ready",
        daemons.len()
    );

    let entry = &daemons[0];
    wait_for_answer(entry, "sky-map")?;
    print_answer(entry, "sky-map")?;
    print_answer(entry, "sightings")?;

    let changed_at = Instant::now();
    commit_lists(&platform, "[sightings, sky-map]", 1)?;
    println!("the plan now allows sightings, too");
    wait_for_version(&daemons, 2)?;
    println!(
        "in force on every daemon after {} ms",
        changed_at.elapsed().as_millis()
    );
    wait_for_answer(entry, "sightings")?;
    print_answer(entry, "sightings")?;

    for daemon in daemons {
        daemon.stop();
    }
    println!("stopped; nothing in flight was cut off");
    Ok(())
}

fn get(daemon: &LocalDaemon, service: &str) -> Result<(u16, String), String> {
    let url = format!(
        "http://{}/{service}/tonight",
        daemon.settings.callers_address
    );
    let mut response = ureq::get(&url)
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .header("authorization", format!("Bearer {CREDENTIAL}"))
        .call()
        .map_err(|error| error.to_string())?;
    let body = response
        .body_mut()
        .read_to_string()
        .map_err(|error| error.to_string())?;
    Ok((response.status().as_u16(), body))
}

fn commit_lists(platform: &FakePlatform, uses: &str, base: u64) -> Result<(), String> {
    let hash = CredentialHash::of(CREDENTIAL);
    let customers = format!(
        "customers:\n  - customer: karoo-school\n    plan: observer\n    credential_sha256: {hash}\n"
    );
    let services = SERVICES.map(service_yaml).concat();
    let plans = format!(
        "services:\n{services}plans:\n  - plan: observer\n    uses: {uses}\n    weight: 1\n"
    );
    let lists = Lists::parse(&customers, &plans).map_err(|error| error.to_string())?;
    let id = format!("quickstart-{base}")
        .parse()
        .map_err(|error: IdError| error.to_string())?;
    let change = Change {
        asked_at_ms: 0,
        base: ConfigVersion(base),
        id,
        lists,
        operator: "quickstart".into(),
        sent_before: false,
    };
    commit(platform, &change).map_err(|error| error.to_string())?;
    Ok(())
}

fn service_yaml(service: &str) -> String {
    format!("  - service: {service}\n    timeout_ms: 2000\n    max_request_bytes: 65536\n")
}

fn print_answer(daemon: &LocalDaemon, service: &str) -> Result<(), String> {
    let (status, body) = get(daemon, service)?;
    println!("GET /{service}/tonight: {status} {}", body.trim());
    Ok(())
}

fn start_daemons(platform: &Arc<FakePlatform>) -> Result<Vec<LocalDaemon>, String> {
    let mut daemons = Vec::new();
    for index in 0..6 {
        let spec = spec(index);
        let daemon = LocalDaemon::start(&spec, Arc::clone(platform) as _)?;
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    Ok(daemons)
}

fn spec(index: usize) -> DaemonSpec {
    let address = free_address();
    let instance = format!("instance-{index}");
    DaemonSpec {
        availability_zone: format!("za-1{}", ["a", "b", "c"][index % 3]),
        extra_settings: "spread:\n  join_spread_ms: 200\n".into(),
        instance: instance.clone(),
        // Not used, because the platform is in this process.
        platform_address: address,
        region: "za-1".into(),
        upstream: Some(UpstreamSettings {
            address,
            announcements_address: address,
            behaviour: UpstreamBehaviour::Plain,
            ledger: None,
            name: instance,
            service: SERVICES[index % SERVICES.len()].into(),
            service_time: Duration::from_millis(5),
            slots: 6,
        }),
    }
}

fn wait_for_answer(daemon: &LocalDaemon, service: &str) -> Result<(), String> {
    for _ in 0..100 {
        if get(daemon, service)?.0 == 200 {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("`{service}` was not answered"))
}

fn wait_for_version(daemons: &[LocalDaemon], version: u64) -> Result<(), String> {
    for _ in 0..1000 {
        if daemons
            .iter()
            .all(|daemon| daemon.config_head().version.0 >= version)
        {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Err(format!("version `{version}` did not reach every daemon"))
}
