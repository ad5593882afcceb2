//! Commits one change for the subcommands that make one.

use std::hash::{BuildHasher, RandomState};

use getopts::Options;
use medlarspool_config::Lists;
use medlarspool_platform::{
    Change, ChangeFate, CommitError, CommitOutcome, Platform, commit, read_change,
};
use medlarspool_types::{ChangeId, ConfigVersion};
use serde_json::json;

use crate::{CommandError, Console, arguments::Arguments};

/// The operator's name in the history if neither `--operator` nor `USER` gives one.
const UNKNOWN_OPERATOR: &str = "unknown";

pub(crate) fn add_options(options: &mut Options) {
    let text = "id of a change that an earlier run may have sent";
    options.optopt("", "change", text, "ID");
    options.optopt("", "operator", "who asks, for the history", "NAME");
}

/// Prints the outcome of the change that `--change` names and returns true if an earlier run committed it.
/// Returns false if the option is absent or the change was not accepted so far.
///
/// Subcommands call this before they read the lists and build the change: an earlier run may have committed
/// it, and then building it again on the new lists can fail, for example because the entry to remove is
/// missing, as if the change had not been accepted.
///
/// Fails if the change was withdrawn or if a call to the platform fails.
pub(crate) fn print_if_settled(
    arguments: &Arguments,
    console: &mut Console<'_>,
    platform: &dyn Platform,
) -> Result<bool, CommandError> {
    let Some(change) = arguments.parsed("change")? else {
        return Ok(false);
    };
    match read_change(platform, &change)? {
        Some(ChangeFate::Accepted(record)) => {
            let rebased = record.head.version != record.base.next();
            let head = record.head;
            print_outcome(
                arguments,
                console,
                &change,
                &CommitOutcome::Accepted { head, rebased },
            )?;
            Ok(true)
        }
        Some(ChangeFate::Withdrawn) => Err(CommitError::Withdrawn(change).into()),
        None => Ok(false),
    }
}

/// Reports the outcome as unknown if the platform fails and `--change` names a change: an earlier run may
/// have sent it, so the failure doesn't mean that it was refused.
pub(crate) fn outcome_unknown_if_resumed(
    arguments: &Arguments,
    error: CommandError,
) -> CommandError {
    match (arguments.parsed("change"), error) {
        (Ok(Some(change)), CommandError::Platform(reason)) => {
            CommandError::Commit(CommitError::OutcomeUnknown { change, reason })
        }
        (_, error) => error,
    }
}

/// Commits the lists as a change of a base version and prints the outcome. The change's id is that of
/// `--change`, or else a new one.
pub(crate) fn submit(
    arguments: &Arguments,
    console: &mut Console<'_>,
    platform: &dyn Platform,
    base: ConfigVersion,
    lists: Lists,
) -> Result<CommitOutcome, CommandError> {
    let resumed_id: Option<ChangeId> = arguments.parsed("change")?;
    let asked_at_ms = console.now_ms();
    let sent_before = resumed_id.is_some();
    let change = Change {
        asked_at_ms,
        base,
        id: resumed_id.map_or_else(|| generate_change_id(asked_at_ms), Ok)?,
        lists,
        operator: operator_name(arguments),
        sent_before,
    };
    log::info!(change = change.id.as_str(); "sending a change");
    let outcome = commit(platform, &change)?;
    print_outcome(arguments, console, &change.id, &outcome)?;
    Ok(outcome)
}

/// Prints whether a change was accepted, as which version, and whether it was rebased; as JSON with `--json`.
fn print_outcome(
    arguments: &Arguments,
    console: &mut Console<'_>,
    change: &ChangeId,
    outcome: &CommitOutcome,
) -> Result<(), CommandError> {
    if arguments.json() {
        let document = match outcome {
            CommitOutcome::Accepted { head, rebased } => json!({
                "change": change, "digest": head.digest, "outcome": "accepted",
                "rebased": rebased, "version": head.version,
            }),
            CommitOutcome::Unchanged { head } => json!({
                "digest": head.digest, "outcome": "unchanged", "version": head.version,
            }),
        };
        return Ok(writeln!(console.output, "{document}")?);
    }
    match outcome {
        CommitOutcome::Accepted { head, rebased } => {
            let version = head.version;
            writeln!(
                console.output,
                "accepted as version {version} (change {change})"
            )?;
            if *rebased {
                let text = "it also holds other operators' edits; `medlarspool get` fetches them";
                writeln!(console.output, "{text}")?;
            }
        }
        CommitOutcome::Unchanged { head } => {
            let version = head.version;
            writeln!(
                console.output,
                "unchanged: version {version} holds this already"
            )?;
        }
    }
    Ok(())
}

fn operator_name(arguments: &Arguments) -> String {
    let named = arguments.optional("operator");
    named
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| UNKNOWN_OPERATOR.into())
}

/// Generates a change id that is unique with high probability: the time and 64 random bits that the
/// operating system seeds.
fn generate_change_id(asked_at_ms: u64) -> Result<ChangeId, CommandError> {
    let random = RandomState::new().hash_one(std::process::id());
    let id = format!("{asked_at_ms:x}-{random:016x}");
    id.parse()
        .map_err(|_| CommandError::Usage(format!("`{id}` is no change id")))
}
