//! Runs the stand-in upstream as a process of its own, until it receives `SIGTERM`.

use std::{process::ExitCode, str::FromStr, time::Duration};

use getopts::{Matches, Options};
use medlarspool_bench::{StandInUpstream, UpstreamSettings};

/// How long a draining upstream still serves the requests that reach it, so that requests that are wrongly sent
/// to it are counted.
const LINGER: Duration = Duration::from_secs(6);

fn main() -> ExitCode {
    env_logger::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stand-in-upstream: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut options = Options::new();
    options.reqopt("", "address", "where it serves", "ADDRESS");
    options.reqopt(
        "",
        "announcements",
        "the daemon's address for it",
        "ADDRESS",
    );
    options.optopt("", "behaviour", "cold, crashing, plain or silent", "WORD");
    options.optopt("", "ledger", "the file that notes each run", "FILE");
    options.reqopt("", "name", "the name that its answers show", "NAME");
    options.reqopt("", "service", "the service that it offers", "NAME");
    options.optopt("", "service-time-ms", "how long a request takes", "MS");
    options.optopt("", "slots", "how many requests run at once", "COUNT");
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|error| error.to_string())?;
    let upstream = StandInUpstream::start(settings(&matches)?)?;
    wait_for_termination().map_err(|error| error.to_string())?;
    upstream.leave(LINGER);
    Ok(())
}

fn settings(matches: &Matches) -> Result<UpstreamSettings, String> {
    Ok(UpstreamSettings {
        address: parse_option(matches, "address", "")?,
        announcements_address: parse_option(matches, "announcements", "")?,
        behaviour: parse_option(matches, "behaviour", "plain")?,
        ledger: matches.opt_str("ledger").map(Into::into),
        name: parse_option(matches, "name", "")?,
        service: parse_option(matches, "service", "")?,
        service_time: Duration::from_millis(parse_option(matches, "service-time-ms", "0")?),
        slots: parse_option(matches, "slots", "6")?,
    })
}

fn parse_option<T: FromStr>(matches: &Matches, name: &str, default: &str) -> Result<T, String> {
    let text = matches.opt_str(name).unwrap_or_else(|| default.into());
    text.parse()
        .map_err(|_| format!("--{name}: `{text}` is not valid"))
}

fn wait_for_termination() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        terminate.recv().await;
        Ok(())
    })
}
