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
    let until = arguments.parsed("until")?.map(ConfigVersion);
    let mut last = fetch(&daemon)?;
    print_status(arguments, console, &last)?;
    while arguments.flag("watch") && !is_reached(&last, until) {
        std::thread::sleep(WATCH_INTERVAL);
        let next = fetch(&daemon)?;
        if has_changed(&next, &last) {
            print_status(arguments, console, &next)?;
        }
        last = next;
    }
    Ok(())
}

fn fetch(daemon: &DaemonClient) -> Result<FleetStatus, CommandError> {
    let answer = daemon.get("/status")?;
    let mut status: FleetStatus =
        serde_json::from_value(answer).map_err(|error| daemon.error(error.to_string()))?;
    status
        .instances
        .sort_by(|one, other| one.instance.cmp(&other.instance));
    Ok(status)
}

fn is_reached(status: &FleetStatus, until: Option<ConfigVersion>) -> bool {
    until.is_some_and(|until| status.count_holders(until) == status.instances.len())
}

/// Returns whether two answers differ in more than the time since each version was received.
fn has_changed(one: &FleetStatus, other: &FleetStatus) -> bool {
    let same = |one: &InstanceStatus, other: &InstanceStatus| {
        one.instance == other.instance
            && one.version == other.version
            && one.state == other.state
            && one.upstream == other.upstream
    };
    let mut pairs = one.instances.iter().zip(&other.instances);
    one.newest != other.newest
        || one.instances.len() != other.instances.len()
        || !pairs.all(|(one, other)| same(one, other))
}

fn print_status(
    arguments: &Arguments,
    console: &mut Console<'_>,
    status: &FleetStatus,
) -> Result<(), CommandError> {
    if arguments.json() {
        let answer = serde_json::to_string(status);
        let answer = answer.map_err(|error| CommandError::Output(error.to_string()))?;
        return Ok(writeln!(console.output, "{answer}")?);
    }
    writeln!(
        console.output,
        "{:<24}  {:<16}  {:<10}  {:<10}  {:>8}  {:>6}  {:>12}",
        "INSTANCE", "ZONE", "STATE", "UPSTREAM", "VERSION", "BEHIND", "HEARD MS AGO"
    )?;
    for each in &status.instances {
        print_instance(console, status.newest, each)?;
    }
    let holders = status.count_holders(status.newest);
    let (all, newest) = (status.instances.len(), status.newest);
    Ok(writeln!(
        console.output,
        "{holders} of {all} daemons hold version {newest}"
    )?)
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
