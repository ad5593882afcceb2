//! Runs the stand-in platform as a process of its own, until it is killed.

use std::{net::SocketAddr, process::ExitCode};

use medlarspool_bench::{StandInPlatform, StandInPlatformError};
use medlarspool_platform::FakePlatform;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stand-in-platform: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StandInPlatformError> {
    let mut options = getopts::Options::new();
    options.optopt("", "listen", "address to listen on", "IP:PORT");
    options.optopt("", "token", "token that callers must send", "TOKEN");
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|error| StandInPlatformError::Arguments(error.to_string()))?;
    let listen = matches.opt_str("listen").unwrap_or("127.0.0.1:0".into());
    let listen: SocketAddr = listen
        .parse()
        .map_err(|_| StandInPlatformError::Arguments(format!("`{listen}` is not an IP:PORT")))?;
    let token = matches.opt_str("token").unwrap_or("platform-token".into());
    let platform = FakePlatform::default();
    let server = StandInPlatform::start(&platform, listen, &token)?;
    println!("listening on {}", server.address());
    server.wait();
    Ok(())
}
