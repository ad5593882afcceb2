//! Measures the hop between daemons over both transports: tonic, and HTTP/1.1 as the platform's daemon uses it.
//!
//! `cargo bench -p medlarspool-bench --bench hop`. The cost of HTTP/1.1 is that of a request with a hop minus
//! that of one without; tonic's is that of a call of the same size whose handler answers at once. Both
//! include client and server. See docs/design/platform.md.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

#[allow(dead_code)]
#[path = "../../daemon/tests/site_process/mod.rs"]
mod site_process;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use medlarspool_bench::ProcessSample;
use medlarspool_proto::{
    CallReply, CallRequest, CrashConfirmation, CrashNotice, FateRequest, FleetKey, Header,
    PeerClient, PeerHandler, PeerServer, TransferReply, TransferRequest, WireChannel,
    WireFateReply,
};
use site_process::SiteProcess;
use stand_in::{
    daemon::{base64, config, request, wait_until},
    message::Client,
    store::Store,
    target::Behaviour,
};
use tonic::transport::{Server, server::TcpIncoming};

/// The number of requests of one measurement. The kernel counts processor time in steps of 10 ms, which are too
/// coarse for a smaller number.
const REQUEST_COUNT: u32 = 10_000;

/// The rounds, in each of which both transports are measured one after the other.
const ROUND_COUNT: usize = 3;

/// The timeout of a call over tonic.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The time of one request, and the processor time that it takes.
#[derive(Clone, Copy)]
struct Cost {
    elapsed_us: f64,
    processor_us: f64,
}

impl Cost {
    fn of(elapsed: Duration, processor: Duration) -> Self {
        let each_us = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(REQUEST_COUNT);
        Self {
            elapsed_us: each_us(elapsed),
            processor_us: each_us(processor),
        }
    }
}

fn main() {
    for round in 0..ROUND_COUNT {
        let without_hop = measure_daemons(round, &["skymap"]);
        let with_hop = measure_daemons(round, &["alerts", "skymap"]);
        let tonic = measure_tonic();
        println!(
            "HTTP/1.1 hop: {:.0} us processor, {:.0} us elapsed; tonic hop: {:.0} us processor, {:.0} us elapsed",
            with_hop.processor_us - without_hop.processor_us,
            with_hop.elapsed_us - without_hop.elapsed_us,
            tonic.processor_us,
            tonic.elapsed_us,
        );
    }
}

/// Measures requests to the first of the daemons, one for each service; the last daemon's target serves them.
fn measure_daemons(round: usize, services: &[&str]) -> Cost {
    let net = u8::try_from(round * 2 + services.len()).unwrap();
    let store_address = SocketAddr::from(([127, 81, net, 250], 18_309));
    let store = Store::start(store_address);
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    let processes: Vec<SiteProcess> = services
        .iter()
        .zip(1..)
        .map(|(service, last_octet)| {
            let ip = IpAddr::from([127, 81, net, last_octet]);
            let process =
                SiteProcess::start(ip, store_address, service, Behaviour::SendsWholeAfterMs(0));
            wait_until("readiness", || process.daemon.readiness() == 200);
            assert_eq!(process.daemon.heartbeat(service, "ready", 1), 200);
            process
        })
        .collect();
    let entry = &processes[0].daemon;
    wait_until("service", || {
        entry
            .get("/read/", "probe")
            .is_some_and(|answer| answer.status() == 200)
    });
    let mut client = Client::connect(entry.outbound());
    let processor_time = || -> Duration {
        processes
            .iter()
            .map(|process| {
                ProcessSample::of(process.child.id())
                    .unwrap()
                    .processor_time
            })
            .sum()
    };
    let (started, before) = (Instant::now(), processor_time());
    for request_number in 1..=REQUEST_COUNT {
        client.send(&request("GET", "/read/", &format!("r{request_number}")));
        assert_eq!(client.receive().unwrap().status(), 200);
    }
    Cost::of(started.elapsed(), processor_time().saturating_sub(before))
}

/// Answers each call at once with the call's own body and headers.
struct Echo;

impl PeerHandler for Echo {
    async fn call(&self, request: CallRequest) -> CallReply {
        CallReply {
            body: request.body,
            headers: request.headers,
            status: 200,
            ..CallReply::default()
        }
    }

    async fn crash(&self, _: CrashNotice) -> CrashConfirmation {
        CrashConfirmation::default()
    }

    async fn transfer(&self, _: TransferRequest) -> TransferReply {
        TransferReply::default()
    }

    async fn fate(&self, _: FateRequest) -> WireFateReply {
        WireFateReply::default()
    }

    async fn open(&self) -> WireChannel {
        WireChannel::default()
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Serves calls over tonic on a thread of its own, as another daemon would; returns the address.
fn serve_by_tonic(key: FleetKey) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        runtime().block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
            let server = PeerServer::new(Arc::new(Echo), key);
            Server::builder()
                .add_service(server)
                .serve_with_incoming(incoming)
                .await
                .unwrap();
        });
    });
    address
}

/// Measures calls over tonic to a server in this process, whose processor time includes both sides.
fn measure_tonic() -> Cost {
    let key = FleetKey::derive("a key for the bench of the hop").unwrap();
    let address = serve_by_tonic(key.clone());
    runtime().block_on(async {
        let client = PeerClient::connect(address, &key, TIMEOUT).await.unwrap();
        let header = |name: &str, value: &str| Header {
            name: name.into(),
            value: value.into(),
        };
        let call = CallRequest {
            body: vec![b'x'; 20],
            call_id: vec![7; 16],
            headers: vec![
                header("Host", "map.example"),
                header("Request-Id", "r1"),
                header("Caller-Service", "alerts"),
            ],
            method: "GET".into(),
            path: "/read/".into(),
            remaining_ms: 2_000,
            service: "skymap".into(),
            ..CallRequest::default()
        };
        let processor_time = || {
            ProcessSample::of(std::process::id())
                .unwrap()
                .processor_time
        };
        let (started, before) = (Instant::now(), processor_time());
        for _ in 0..REQUEST_COUNT {
            let reply = client.call(call.clone(), TIMEOUT).await.unwrap();
            assert_eq!(reply.status, 200);
        }
        Cost::of(started.elapsed(), processor_time().saturating_sub(before))
    })
}
