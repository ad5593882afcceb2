//! The operators' command; see [`medlarspool::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match medlarspool::run(&arguments, &mut std::io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarspool: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
