use getopts::Options;

use crate::{
    CommandError, Console,
    arguments::{self, Arguments},
    daemon_client::DaemonClient,
};

pub(crate) fn add_options(options: &mut Options) {
    arguments::add_daemon_options(options);
}

/// Prints a daemon's internal state: indented by default, on one line with `--json`.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    arguments.operands::<0>()?;
    let dump = DaemonClient::new(arguments)?.get("/dump")?;
    if arguments.json() {
        return Ok(writeln!(console.output, "{dump}")?);
    }
    Ok(writeln!(console.output, "{dump:#}")?)
}
