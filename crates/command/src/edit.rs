use std::{str::FromStr, time::Duration};

use getopts::Options;
use medlarspool_config::{CustomerEntry, EntryChange, Lists, ListsPatch, PlanEntry, ServiceEntry};
use medlarspool_types::ServiceName;

use crate::{
    CommandError, Console,
    arguments::{self, Arguments, missing_option},
    get, submit,
};

pub(crate) fn add_options(options: &mut Options) {
    arguments::add_platform_options(options);
    options.optflag("", "remove", "remove the entry");
    options.optopt("", "plan", "customer: its plan", "PLAN");
    let text = "customer: hash of its credential; see `medlarspool credential`";
    options.optopt("", "credential-sha256", text, "HASH");
    options.optopt(
        "",
        "uses",
        "plan: services, separated by commas",
        "SERVICES",
    );
    options.optopt("", "weight", "plan: share of a busy upstream", "NUMBER");
    let text = "service: largest request body";
    options.optopt("", "max-request-bytes", text, "BYTES");
    let text = "service: timeout of a request that names no deadline";
    options.optopt("", "timeout-ms", text, "MILLISECONDS");
    submit::add_options(options);
}

/// Puts or removes one entry of the newest version's lists and commits the result as a new version. Fields of
/// an existing entry keep their values unless an option gives another; a new entry needs all of them.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    let [kind, id] = arguments.operands()?;
    let platform = arguments.platform()?;
    if submit::print_if_settled(arguments, console, &platform)? {
        return Ok(());
    }
    let (head, lists) = get::fetch(&platform, None)?;
    let change = match kind {
        "customer" => customer_change(arguments, &lists, id)?,
        "plan" => plan_change(arguments, &lists, id)?,
        "service" => service_change(arguments, &lists, id)?,
        _ => {
            let text = format!("`{kind}` is none of `customer`, `plan` and `service`");
            return Err(CommandError::Usage(text));
        }
    };
    let edited = ListsPatch::new([change]).apply(&lists)?;
    submit::submit(arguments, console, &platform, head.version, edited)?;
    Ok(())
}

/// Returns the change of a customer's entry that the options describe.
fn customer_change(
    arguments: &Arguments,
    lists: &Lists,
    id: &str,
) -> Result<EntryChange, CommandError> {
    let customer = parse_id(id)?;
    let current = lists.customer(&customer);
    if arguments.flag("remove") {
        current.ok_or_else(|| missing_entry("customer", id))?;
        return Ok(EntryChange::RemoveCustomer(customer));
    }
    let credential = field_value(
        arguments,
        "credential-sha256",
        current.map(|e| e.credential_sha256),
    )?;
    let plan = field_value(arguments, "plan", current.map(|e| e.plan.clone()))?;
    Ok(EntryChange::PutCustomer(CustomerEntry {
        credential_sha256: credential,
        customer,
        plan,
    }))
}

/// Returns the change of a plan's entry that the options describe.
fn plan_change(
    arguments: &Arguments,
    lists: &Lists,
    id: &str,
) -> Result<EntryChange, CommandError> {
    let plan = parse_id(id)?;
    let current = lists.plan(&plan);
    if arguments.flag("remove") {
        current.ok_or_else(|| missing_entry("plan", id))?;
        return Ok(EntryChange::RemovePlan(plan));
    }
    let uses = match arguments.optional("uses") {
        Some(names) => parse_services(&names)?,
        None => current
            .map(|e| e.uses.clone())
            .ok_or_else(|| missing_option("uses"))?,
    };
    let weight = field_value(arguments, "weight", current.map(|e| e.weight))?;
    Ok(EntryChange::PutPlan(PlanEntry { plan, uses, weight }))
}

/// Returns the change of a service's entry that the options describe.
fn service_change(
    arguments: &Arguments,
    lists: &Lists,
    id: &str,
) -> Result<EntryChange, CommandError> {
    let service = parse_id(id)?;
    let current = lists.service(&service);
    if arguments.flag("remove") {
        current.ok_or_else(|| missing_entry("service", id))?;
        return Ok(EntryChange::RemoveService(service));
    }
    let timeout_ms = match arguments.parsed("timeout-ms")?.map(Duration::from_millis) {
        Some(timeout_ms) => timeout_ms,
        None => current
            .map(|e| e.timeout_ms)
            .ok_or_else(|| missing_option("timeout-ms"))?,
    };
    let current_max_bytes = current.map(|e| e.max_request_bytes);
    Ok(EntryChange::PutService(ServiceEntry {
        max_request_bytes: field_value(arguments, "max-request-bytes", current_max_bytes)?,
        service,
        timeout_ms,
    }))
}

/// Returns a field's value from the command line, or else its current value.
fn field_value<T: FromStr>(
    arguments: &Arguments,
    name: &str,
    current: Option<T>,
) -> Result<T, CommandError> {
    let given = arguments.parsed(name)?;
    given.or(current).ok_or_else(|| missing_option(name))
}

fn parse_services(names: &str) -> Result<Vec<ServiceName>, CommandError> {
    let names = names.split(',').filter(|name| !name.is_empty());
    names.map(parse_id).collect()
}

fn parse_id<T: FromStr<Err = medlarspool_types::IdError>>(id: &str) -> Result<T, CommandError> {
    id.parse()
        .map_err(|error| CommandError::Usage(format!("{error}")))
}

fn missing_entry(kind: &str, id: &str) -> CommandError {
    CommandError::MissingEntry(format!("{kind} `{id}`"))
}
