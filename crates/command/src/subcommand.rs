use getopts::Options;

use crate::{
    CommandError, Console, arguments::Arguments, check, credential, dump, edit, explain, get,
    history, put, restore, status, submit,
};

/// A subcommand of the operators' command; each is implemented in the module of its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Subcommand {
    Check,
    Credential,
    Dump,
    Edit,
    Explain,
    Get,
    History,
    Put,
    Restore,
    Status,
}

impl Subcommand {
    pub(crate) const ALL: [Self; 10] = [
        Self::Check,
        Self::Credential,
        Self::Dump,
        Self::Edit,
        Self::Explain,
        Self::Get,
        Self::History,
        Self::Put,
        Self::Restore,
        Self::Status,
    ];

    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|command| command.name() == name)
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Credential => "credential",
            Self::Dump => "dump",
            Self::Edit => "edit",
            Self::Explain => "explain",
            Self::Get => "get",
            Self::History => "history",
            Self::Put => "put",
            Self::Restore => "restore",
            Self::Status => "status",
        }
    }

    pub(crate) fn summary(self) -> &'static str {
        match self {
            Self::Check => "check the two lists without sending them",
            Self::Credential => "hash a credential from standard input for the customers' list",
            Self::Dump => "print the state that a daemon keeps",
            Self::Edit => "change or remove one customer, plan or service",
            Self::Explain => "say from daemons' logs what became of a request",
            Self::Get => "fetch the two lists of the newest or an older version",
            Self::History => "list the accepted changes, or say what became of one",
            Self::Put => "make the two lists the newest version",
            Self::Restore => "make an older version's lists the newest version",
            Self::Status => "show which version each daemon holds",
        }
    }

    /// Returns the subcommand's operands for its usage line.
    fn operands(self) -> &'static str {
        match self {
            Self::Edit => " customer|plan|service ID",
            Self::Explain => " REQUEST_ID LOG...",
            Self::Restore => " VERSION",
            _ => "",
        }
    }

    pub(crate) fn options(self) -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("", "json", "print JSON for scripts");
        match self {
            Self::Check => check::add_options(&mut options),
            Self::Credential => {}
            Self::Dump => dump::add_options(&mut options),
            Self::Edit => edit::add_options(&mut options),
            Self::Explain => explain::add_options(&mut options),
            Self::Get => get::add_options(&mut options),
            Self::History => history::add_options(&mut options),
            Self::Put => put::add_options(&mut options),
            Self::Restore => restore::add_options(&mut options),
            Self::Status => status::add_options(&mut options),
        }
        options
    }

    pub(crate) fn help(self) -> String {
        let name = self.name();
        let operands = self.operands();
        let summary = self.summary();
        let brief = format!("Usage: medlarspool {name}{operands} [options]\n\n{summary}");
        self.options().usage(&brief)
    }

    pub(crate) fn run(
        self,
        arguments: &Arguments,
        console: &mut Console<'_>,
    ) -> Result<(), CommandError> {
        match self {
            Self::Check => check::run(arguments, console),
            Self::Credential => credential::run(arguments, console),
            Self::Dump => dump::run(arguments, console),
            Self::Edit => edit::run(arguments, console)
                .map_err(|error| submit::outcome_unknown_if_resumed(arguments, error)),
            Self::Explain => explain::run(arguments, console),
            Self::Get => get::run(arguments, console),
            Self::History => history::run(arguments, console),
            Self::Put => put::run(arguments, console)
                .map_err(|error| submit::outcome_unknown_if_resumed(arguments, error)),
            Self::Restore => restore::run(arguments, console)
                .map_err(|error| submit::outcome_unknown_if_resumed(arguments, error)),
            Self::Status => status::run(arguments, console),
        }
    }
}
