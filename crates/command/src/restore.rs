use getopts::Options;
use medlarspool_types::ConfigVersion;

use crate::{
    CommandError, Console,
    arguments::{self, Arguments},
    get, submit,
};

pub(crate) fn add_options(options: &mut Options) {
    arguments::add_platform_options(options);
    submit::add_options(options);
}

/// Commits an older version's lists as a new version; accepted versions are never changed.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    let [version] = arguments.operands()?;
    let invalid = |_| CommandError::Usage(format!("`{version}` is no version"));
    let version = ConfigVersion(version.parse().map_err(invalid)?);
    let platform = arguments.platform()?;
    if submit::print_if_settled(arguments, console, &platform)? {
        return Ok(());
    }
    let (_, lists) = get::fetch(&platform, Some(version))?;
    let (head, _) = get::fetch(&platform, None)?;
    submit::submit(arguments, console, &platform, head.version, lists)?;
    Ok(())
}
