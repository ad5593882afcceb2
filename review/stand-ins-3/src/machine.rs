//! The machines of a small deployment, each with the project's own daemon as a separate process.

use std::{
    fs::File,
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{http::round_trip, record::Record};

/// The variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "MEDLARSPOOL_NODE_FILE";

/// Where the build of the deploy file puts the program, seen from the root of the repository.
const PROGRAM: &str = "target/release/medlarspoold";

/// The ports of one day, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub app: u16,
    pub control: u16,
    pub first_internal: u16,
    pub last_internal: u16,
    pub outbound: u16,
    pub ready: u16,
    pub store: u16,
}

impl Ports {
    /// Finds ports that are free on these addresses.
    pub fn find(addresses: &[IpAddr]) -> Self {
        let process = u16::try_from(std::process::id() % 400).unwrap_or(0);
        for step in 0..200 {
            let base = 20_000 + (process * 20 + step * 40) % 12_000;
            let is_free = |port: u16| {
                addresses.iter().all(|ip| {
                    TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
                })
            };
            if (base..base + 20).all(is_free) {
                return Self {
                    app: base,
                    control: base + 1,
                    outbound: base + 2,
                    ready: base + 3,
                    store: base + 4,
                    first_internal: base + 5,
                    last_internal: base + 15,
                };
            }
        }
        panic!("no free ports");
    }
}

/// One machine with its daemon; dropping it kills the daemon.
pub struct Machine {
    pub child: Child,
    pub ip: IpAddr,
    ports: Ports,
    settings: PathBuf,
    folder: PathBuf,
    starts: u32,
}

/// What the settings of a machine's daemon follow from.
pub struct Site<'a> {
    pub bounds: &'a [&'a str],
    pub ip: IpAddr,
    pub ports: Ports,
    pub service: &'a str,
    pub store: IpAddr,
    pub zone: &'a str,
}

impl Machine {
    /// Starts the daemon of a machine, with bounds as in a site's sheet.
    pub fn start(folder: &Path, site: &Site) -> Self {
        let Site {
            bounds,
            ip,
            ports,
            service,
            store,
            zone,
        } = *site;
        let address = |port: u16| SocketAddr::new(ip, port).to_string();
        let settings = json!({
            "node_name": format!("sidecar-{ip}"), "role": "daemon", "machine_class": "sidecar", "serves": ["sidecar"],
            "ip": ip.to_string(), "zone": zone, "region": "region", "zones": {"zone-a": "region", "zone-b": "region"},
            "listen_addrs": {"outbound": address(ports.outbound), "ready": address(ports.ready),
                             "control": address(ports.control)},
            "internal_ports": [ports.first_internal, ports.last_internal], "seeds": [], "bootstrap": true,
            "in_tolerance": false,
            "limits": {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": null, "discovery": "local", "entry": "local", "heartbeat_s": 1.5,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds,
            "app_addr": address(ports.app), "service": service,
            "platform": {"address": SocketAddr::new(store, ports.store).to_string(), "form": "table",
                         "writes_per_s": 400, "reads_per_s": 2000, "tx_s": 0.005, "part_writes_s": 200,
                         "row_bytes": 65536, "across": false, "history_s": 20},
        });
        let path = folder.join(format!("settings-{ip}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let child = spawn(folder, &path, ip, 1);
        Self {
            child,
            folder: folder.into(),
            ip,
            ports,
            settings: path,
            starts: 1,
        }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.address(self.ports.outbound)
    }

    /// Returns the status of a readiness check; 0 if there is no answer.
    pub fn readiness(&self) -> u16 {
        let text = "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = round_trip(self.address(self.ports.ready), text, Duration::from_secs(1));
        answer.map_or(0, |answer| answer.status())
    }

    /// Returns the operators' view of the fleet.
    pub fn status(&self) -> Value {
        let text = "GET /status HTTP/1.1\r\nHost: status\r\n\r\n";
        let answer = round_trip(
            self.address(self.ports.last_internal),
            text,
            Duration::from_secs(1),
        );
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([name, &pid]).status();
    }

    /// Kills the daemon, and starts it again.
    #[allow(dead_code)]
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.starts += 1;
        self.child = spawn(&self.folder, &self.settings, self.ip, self.starts);
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(folder: &Path, settings: &Path, ip: IpAddr, number: u32) -> Child {
    let log = File::create(folder.join(format!("daemon-{ip}-{number}.log")))
        .expect("a log can be written");
    let errors = log.try_clone().expect("a file can be copied");
    Command::new(PROGRAM)
        .arg("--site")
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the build of the deploy file is there")
}

/// Waits until something holds; returns whether it did in time.
pub fn wait_until(
    record: &Record,
    what: &str,
    time_limit: Duration,
    holds: impl Fn() -> bool,
) -> bool {
    let until = Instant::now() + time_limit;
    while !holds() {
        if Instant::now() > until {
            record.line(&format!("timed out waiting for {what}"));
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
