use std::fmt::Write;

use crate::{CommandError, Console, arguments::Arguments, subcommand::Subcommand};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the output can't be written
  2  the command line or a file can't be used; nothing was sent
  3  the lists are faulty or name what is not there; not accepted
  4  the platform or a daemon can't be reached or refuses; nothing was changed
  5  the outcome is not known; run `medlarspool history --change ID`
  6  not accepted because another operator's change came first
";

/// Runs the command with the arguments that follow its name.
///
/// # Errors
///
/// Fails if the subcommand does; the error gives the text for standard error and the exit code.
pub fn run(arguments: &[String], console: &mut Console<'_>) -> Result<(), CommandError> {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage("no subcommand is named".into()));
    };
    match name.as_str() {
        "-h" | "--help" | "help" => return Ok(console.output.write_all(help().as_bytes())?),
        "--version" => {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(writeln!(console.output, "medlarspool {version}")?);
        }
        _ => {}
    }
    let unknown = || CommandError::Usage(format!("`{name}` is no subcommand"));
    let subcommand = Subcommand::from_name(name).ok_or_else(unknown)?;
    let arguments = Arguments::parse(&subcommand.options(), rest)?;
    if arguments.flag("help") {
        return Ok(console.output.write_all(subcommand.help().as_bytes())?);
    }
    subcommand.run(&arguments, console)
}

fn help() -> String {
    let mut help = String::from(
        "Usage: medlarspool SUBCOMMAND [options]\n       medlarspool --help | --version\n\nSubcommands:\n",
    );
    for subcommand in Subcommand::ALL {
        // Writing to a string can't fail.
        let _ = writeln!(help, "  {:<12}{}", subcommand.name(), subcommand.summary());
    }
    help += "\n`medlarspool SUBCOMMAND --help` prints a subcommand's options.\n\n";
    help += EXIT_CODES;
    help
}
