//! The daemon that runs beside each upstream; see [`medlarspool_daemon`].

use std::process::ExitCode;

fn main() -> ExitCode {
    match medlarspool_daemon::run(std::env::args().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarspoold: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
