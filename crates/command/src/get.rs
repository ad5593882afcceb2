use getopts::Options;
use medlarspool_config::Lists;
use medlarspool_platform::{CommitError, Platform, read_head, read_lists, read_version};
use medlarspool_types::{ConfigHead, ConfigVersion};
use serde_json::json;

use crate::{
    CommandError, Console,
    arguments::{self, Arguments},
    list_texts,
};

pub(crate) fn add_options(options: &mut Options) {
    arguments::add_platform_options(options);
    list_texts::add_options(options);
    let text = "version to fetch instead of the newest";
    options.optopt("", "version", text, "VERSION");
}

/// Writes the two lists of a version to files or, if no files are named, to standard output.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    arguments.operands::<0>()?;
    let platform = arguments.platform()?;
    let version = arguments.parsed("version")?.map(ConfigVersion);
    let (head, lists) = fetch(&platform, version)?;
    let customers = lists.customers_yaml_based_on(Some(head.version));
    let plans = lists.plans_yaml_based_on(Some(head.version));
    if arguments.json() {
        return print_json(console, head, &lists);
    }
    match (arguments.optional("customers"), arguments.optional("plans")) {
        (None, None) => Ok(write!(console.output, "{customers}---\n{plans}")?),
        (Some(customers_path), Some(plans_path)) => {
            arguments::write_file(&customers_path, &customers)?;
            arguments::write_file(&plans_path, &plans)?;
            Ok(writeln!(console.output, "version {}", head.version)?)
        }
        (Some(_), None) => Err(arguments::missing_option("plans")),
        (None, Some(_)) => Err(arguments::missing_option("customers")),
    }
}

/// Reads a version's lists, by default the newest.
pub(crate) fn fetch(
    platform: &dyn Platform,
    version: Option<ConfigVersion>,
) -> Result<(ConfigHead, Lists), CommandError> {
    let head = match version {
        Some(ConfigVersion::NONE) => ConfigHead::default(),
        Some(version) => {
            let record = read_version(platform, version)?;
            record.ok_or(CommitError::UnknownVersion(version))?.head
        }
        None => read_head(platform)?.unwrap_or_default(),
    };
    if head.version == ConfigVersion::NONE {
        return Ok((head, Lists::default()));
    }
    Ok((head, read_lists(platform, head)?))
}

fn print_json(
    console: &mut Console<'_>,
    head: ConfigHead,
    lists: &Lists,
) -> Result<(), CommandError> {
    let customers: Vec<_> = lists.customers_by_id();
    let document = json!({
        "customers": customers, "digest": head.digest, "plans": lists.plans(),
        "services": lists.services(), "version": head.version,
    });
    Ok(writeln!(console.output, "{document}")?)
}
