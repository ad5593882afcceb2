use std::io::Write;

use crate::{CommandError, put};

/// Runs the command with the arguments that follow its name.
///
/// # Errors
///
/// Fails with what is printed and gives the exit code.
pub fn run(arguments: &[String], output: &mut dyn Write) -> Result<(), CommandError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage("no subcommand is named".into()));
    };
    match command.as_str() {
        "put" => put::run(rest, output),
        _ => Err(CommandError::Usage(format!("`{command}` is no subcommand"))),
    }
}
