use std::time::Duration;

use getopts::Options;
use medlarspool_types::ConfigVersion;

use crate::{
    CommandError, Console, FleetStatus, InstanceStatus,
    arguments::{self, Arguments},
    daemon_client::DaemonClient,
};

/// The time between two polls of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn add_options(options: &mut Options) {
    arguments::add_daemon_options(options);
    options.optflag(
        "",
        "watch",
        "poll, and print the status again when it has changed",
    );
    let text = "with --watch: end once every daemon holds this version";
    options.optopt("", "until", text, "VERSION");
}

/// Prints the state of all daemons as the queried daemon knows it from membership.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    arguments.operands::<0>()?;
    let daemon = DaemonClient::new(arguments)?;
    let until_version = arguments.parsed("until")?.map(ConfigVersion);
    let mut last_status = fetch(&daemon)?;
    print_status(arguments, console, &last_status)?;
    while arguments.flag("watch") && !is_held_by_all(&last_status, until_version) {
        std::thread::sleep(WATCH_INTERVAL);
        let next_status = fetch(&daemon)?;
        if has_changed(&next_status, &last_status) {
            print_status(arguments, console, &next_status)?;
        }
        last_status = next_status;
    }
    Ok(())
}

fn fetch(daemon: &DaemonClient) -> Result<FleetStatus, CommandError> {
    let page = daemon.get("/status")?;
    let mut status: FleetStatus =
        serde_json::from_value(page).map_err(|error| daemon.error(error.to_string()))?;
    status
        .instances
        .sort_by(|one, other| one.instance.cmp(&other.instance));
    Ok(status)
}

fn is_held_by_all(status: &FleetStatus, until_version: Option<ConfigVersion>) -> bool {
    until_version
        .is_some_and(|until_version| status.count_holders(until_version) == status.instances.len())
}

/// Returns whether two statuses differ in anything but `heard_ms_ago`, which grows between any two polls,
/// and the availability zone, which an instance keeps.
fn has_changed(one: &FleetStatus, other: &FleetStatus) -> bool {
    let same = |one: &InstanceStatus, other: &InstanceStatus| {
        one.instance == other.instance
            && one.version == other.version
            && one.state == other.state
            && one.upstream == other.upstream
    };
    let mut pairs = one.instances.iter().zip(&other.instances);
    one.newest != other.newest
        || one.refused_config != other.refused_config
        || one.instances.len() != other.instances.len()
        || !pairs.all(|(one, other)| same(one, other))
}

/// Prints a table with a line for each instance and the number of daemons that hold the newest version, or the
/// whole status as JSON with `--json`.
fn print_status(
    arguments: &Arguments,
    console: &mut Console<'_>,
    status: &FleetStatus,
) -> Result<(), CommandError> {
    if arguments.json() {
        let document = serde_json::to_string(status);
        let document = document.map_err(|error| CommandError::Output(error.to_string()))?;
        return Ok(writeln!(console.output, "{document}")?);
    }
    writeln!(
        console.output,
        "{:<24}  {:<16}  {:<10}  {:<10}  {:>8}  {:>6}  {:>12}",
        "INSTANCE", "ZONE", "STATE", "UPSTREAM", "VERSION", "BEHIND", "HEARD MS AGO"
    )?;
    for each in &status.instances {
        print_instance(console, status.newest, each)?;
    }
    let holder_count = status.count_holders(status.newest);
    let (daemon_count, newest) = (status.instances.len(), status.newest);
    writeln!(
        console.output,
        "{holder_count} of {daemon_count} daemons hold version {newest}"
    )?;
    if let Some(refused) = &status.refused_config {
        let version = refused.version;
        let version = version.map_or_else(|| "unknown".into(), |version| version.to_string());
        writeln!(
            console.output,
            "the queried daemon can't apply version {version} from the {}: {}",
            refused.source, refused.reason
        )?;
    }
    Ok(())
}

fn print_instance(
    console: &mut Console<'_>,
    newest: ConfigVersion,
    each: &InstanceStatus,
) -> Result<(), CommandError> {
    let behind = newest.0.saturating_sub(each.version.0);
    Ok(writeln!(
        console.output,
        "{:<24}  {:<16}  {:<10}  {:<10}  {:>8}  {behind:>6}  {:>12}",
        each.instance.as_str(),
        each.availability_zone.as_str(),
        each.state,
        each.upstream,
        each.version.0,
        each.heard_ms_ago,
    )?)
}
