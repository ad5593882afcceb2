use std::{io::Write, time::SystemTime};

use getopts::Options;
use medlarspool_config::Lists;
use medlarspool_platform::{Change, CommitOutcome, commit, read_head};
use medlarspool_types::{ChangeId, ConfigVersion};

use crate::{
    CommandError,
    arguments::{self, Arguments},
};

pub(crate) fn run(arguments: &[String], output: &mut dyn Write) -> Result<(), CommandError> {
    let mut options = Options::new();
    arguments::add_platform(&mut options);
    arguments::add_lists(&mut options);
    options.optopt("", "base", "version that the lists started from", "VERSION");
    options.optopt("", "change", "id of the change", "ID");
    let arguments = Arguments::parse(&options, arguments)?;
    let customers = arguments::read_file(&arguments.required("customers")?)?;
    let plans = arguments::read_file(&arguments.required("plans")?)?;
    let lists = Lists::parse(&customers, &plans)?;
    let platform = arguments.platform()?;
    let head = read_head(&platform)?.unwrap_or_default();
    let base = match arguments.parsed("base")?.map(ConfigVersion) {
        Some(base) => Some(base),
        None => Lists::base_version(&customers, &plans)?,
    };
    let base = match base {
        Some(base) => base,
        None if head.version == ConfigVersion::NONE => ConfigVersion::NONE,
        None => return Err(CommandError::NoBase { head: head.version }),
    };
    let asked_at_ms = epoch_ms();
    let drawn = format!("{asked_at_ms}-{}", std::process::id());
    let drawn: ChangeId = drawn.parse().map_err(|_| CommandError::Usage(drawn))?;
    let resumed: Option<ChangeId> = arguments.parsed("change")?;
    let change = Change {
        asked_at_ms,
        base,
        sent_before: resumed.is_some(),
        id: resumed.unwrap_or(drawn),
        lists,
        operator: std::env::var("USER").unwrap_or_default(),
    };
    match commit(&platform, &change)? {
        CommitOutcome::Accepted { head, .. } => {
            writeln!(output, "accepted as version {}", head.version)?;
        }
        CommitOutcome::Unchanged { head } => {
            writeln!(
                output,
                "unchanged: version {} holds it already",
                head.version
            )?;
        }
    }
    Ok(())
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
