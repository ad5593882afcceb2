use getopts::Options;
use medlarspool_config::{EntryChange, ListsPatch};
use medlarspool_platform::{
    ChangeFate, ChangeRecord, Platform, list_versions, read_change, withdraw,
};
use medlarspool_types::{ChangeId, ConfigVersion};
use serde_json::json;

use crate::{
    CommandError, Console,
    arguments::{self, Arguments},
    get, utc,
};

/// The number of versions that are listed by default.
const DEFAULT_LIMIT: usize = 20;
/// The maximum number of versions that are listed.
const MAX_LIMIT: usize = 1000;

pub(crate) fn add_options(options: &mut Options) {
    arguments::add_platform_options(options);
    options.optopt("", "change", "say what became of this change", "ID");
    let text = "with --change: make sure that it is never accepted if it isn't yet";
    options.optflag("", "withdraw", text);
    options.optopt(
        "",
        "version",
        "list the entries that this version changed",
        "VERSION",
    );
    options.optopt(
        "",
        "limit",
        "number of versions to list, newest first",
        "NUMBER",
    );
}

/// Prints the fate of the change named by `--change`, the entries changed by the version named by
/// `--version`, or else the newest versions.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    arguments.operands::<0>()?;
    let platform = arguments.platform()?;
    if let Some(change) = arguments.parsed("change")? {
        return print_fate(arguments, console, &platform, &change);
    }
    if let Some(version) = arguments.parsed("version")? {
        return print_entries(arguments, console, &platform, ConfigVersion(version));
    }
    let limit = arguments.parsed("limit")?.unwrap_or(DEFAULT_LIMIT);
    let records = list_versions(&platform, limit.min(MAX_LIMIT))?;
    if arguments.json() {
        let document = json!({ "versions": records });
        return Ok(writeln!(console.output, "{document}")?);
    }
    writeln!(
        console.output,
        "{:>8}  {:<20}  {:<16}  {:<32}  CHANGE",
        "VERSION", "ASKED AT", "OPERATOR", "DIGEST"
    )?;
    records
        .iter()
        .try_for_each(|record| print_record(console, record))
}

fn print_record(console: &mut Console<'_>, record: &ChangeRecord) -> Result<(), CommandError> {
    let asked_at = utc::format_ms(record.asked_at_ms);
    let (version, digest) = (record.head.version.0, record.head.digest.to_string());
    let (operator, change) = (&record.operator, &record.change);
    Ok(writeln!(
        console.output,
        "{version:>8}  {asked_at:<20}  {operator:<16}  {digest}  {change}"
    )?)
}

/// Prints what the table records of a change; with `--withdraw`, withdraws the change first.
fn print_fate(
    arguments: &Arguments,
    console: &mut Console<'_>,
    platform: &dyn Platform,
    change: &ChangeId,
) -> Result<(), CommandError> {
    let fate = if arguments.flag("withdraw") {
        Some(withdraw(platform, change)?)
    } else {
        read_change(platform, change)?
    };
    if arguments.json() {
        let document = match &fate {
            Some(ChangeFate::Accepted(record)) => json!({
                "change": change, "outcome": "accepted", "record": record,
            }),
            Some(ChangeFate::Withdrawn) => json!({ "change": change, "outcome": "withdrawn" }),
            None => json!({ "change": change, "outcome": "not_accepted_so_far" }),
        };
        return Ok(writeln!(console.output, "{document}")?);
    }
    let text = match &fate {
        Some(ChangeFate::Accepted(record)) => {
            format!("accepted as version {}", record.head.version)
        }
        Some(ChangeFate::Withdrawn) => "withdrawn: it was not accepted and never will be".into(),
        None => "not accepted so far, but it may still be under way: `put --change` sends it \
                 again, `history --change --withdraw` ends it"
            .into(),
    };
    Ok(writeln!(console.output, "change {change}: {text}")?)
}

/// Prints the entries in which a version differs from the previous one.
fn print_entries(
    arguments: &Arguments,
    console: &mut Console<'_>,
    platform: &dyn Platform,
    version: ConfigVersion,
) -> Result<(), CommandError> {
    let (_, after) = get::fetch(platform, Some(version))?;
    let before = ConfigVersion(version.0.saturating_sub(1));
    let (_, before) = get::fetch(platform, Some(before))?;
    let patch = ListsPatch::between(&before, &after);
    if arguments.json() {
        let entries = patch.changes().iter().map(entry_json);
        let document = json!({ "entries": entries.collect::<Vec<_>>(), "version": version });
        return Ok(writeln!(console.output, "{document}")?);
    }
    for change in patch.changes() {
        writeln!(console.output, "{} {}", verb(change), change.key())?;
    }
    Ok(())
}

fn entry_json(change: &EntryChange) -> serde_json::Value {
    json!({ "entry": change.key().to_string(), "verb": verb(change) })
}

fn verb(change: &EntryChange) -> &'static str {
    match change {
        EntryChange::PutCustomer(_) | EntryChange::PutPlan(_) | EntryChange::PutService(_) => "put",
        EntryChange::RemoveCustomer(_)
        | EntryChange::RemovePlan(_)
        | EntryChange::RemoveService(_) => "remove",
    }
}
