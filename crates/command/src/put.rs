use getopts::Options;
use medlarspool_platform::{CommitOutcome, Platform, read_head};
use medlarspool_types::ConfigVersion;

use crate::{
    CommandError, Console,
    arguments::{self, Arguments},
    base_version::with_base_version,
    list_texts::{self, ListTexts},
    submit,
};

pub(crate) fn add_options(options: &mut Options) {
    arguments::add_platform_options(options);
    list_texts::add_options(options);
    let text = "version that the lists are an edited copy of, if they don't name it";
    options.optopt("", "base", text, "VERSION");
    let text = "leave `base_version` in the two files as it is";
    options.optflag("", "keep-files", text);
    submit::add_options(options);
}

/// Commits the operator's two lists as a new version and, unless it was rebased, updates `base_version` in
/// their files.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    arguments.operands::<0>()?;
    let texts = ListTexts::read(arguments)?;
    let parsed = texts.parse()?;
    let platform = arguments.platform()?;
    let named_base = arguments.parsed("base")?.map(ConfigVersion);
    let base = base_version(&platform, named_base.or(parsed.base_version))?;
    let outcome = submit::submit(arguments, console, &platform, base, parsed.lists)?;
    match outcome {
        // After a rebase the files lack other operators' edits. They keep their old base version, so that
        // putting them again does not revert those edits.
        CommitOutcome::Accepted {
            head,
            rebased: false,
        } if !arguments.flag("keep-files") => update_base_version(&texts, head.version),
        _ => Ok(()),
    }
}

/// Returns the lists' base version; lists that name none are accepted only as the first version.
fn base_version(
    platform: &dyn Platform,
    named_base: Option<ConfigVersion>,
) -> Result<ConfigVersion, CommandError> {
    if let Some(base) = named_base {
        return Ok(base);
    }
    let head = read_head(platform)?.unwrap_or_default();
    if head.version == ConfigVersion::NONE {
        return Ok(ConfigVersion::NONE);
    }
    Err(CommandError::MissingBase { head: head.version })
}

/// Writes the committed version into the operator's files as their base version, so that they can be
/// edited and put again.
fn update_base_version(texts: &ListTexts, version: ConfigVersion) -> Result<(), CommandError> {
    let customers = with_base_version(&texts.customers, version);
    arguments::write_file(&texts.customers_path, &customers)?;
    let plans = with_base_version(&texts.plans, version);
    arguments::write_file(&texts.plans_path, &plans)
}
