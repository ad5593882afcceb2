//! The operators' command; see [`medlarspool::run`].

use std::process::ExitCode;

use medlarspool::Console;
use medlarspool_types::SystemClock;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut console = Console {
        clock: &SystemClock,
        input: &mut std::io::stdin(),
        output: &mut std::io::stdout(),
    };
    match medlarspool::run(&arguments, &mut console) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", error.report(&arguments));
            ExitCode::from(error.exit_code())
        }
    }
}
