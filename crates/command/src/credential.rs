use medlarspool_config::CredentialHash;
use serde_json::json;

use crate::{CommandError, Console, arguments::Arguments};

/// The maximum number of bytes read from standard input.
const MAX_CREDENTIAL_BYTES: u64 = 4096;

/// Prints the hash of the credential on standard input; a line end after the credential is not hashed.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    use std::io::Read;

    arguments.operands::<0>()?;
    let mut credential = String::new();
    let mut input = (&mut *console.input).take(MAX_CREDENTIAL_BYTES);
    let read = input.read_to_string(&mut credential);
    read.map_err(|error| CommandError::Usage(format!("can't read the credential: {error}")))?;
    let credential = credential.trim_end_matches(['\r', '\n']);
    if credential.is_empty() {
        return Err(CommandError::Usage(
            "standard input holds no credential".into(),
        ));
    }
    let hash = CredentialHash::of(credential);
    if arguments.json() {
        let hash = json!({ "credential_sha256": hash });
        return Ok(writeln!(console.output, "{hash}")?);
    }
    Ok(writeln!(console.output, "{hash}")?)
}
