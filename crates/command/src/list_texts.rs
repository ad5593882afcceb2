use getopts::Options;
use medlarspool_config::{ListFile, ListFiles, ParsedLists};

use crate::{
    CommandError,
    arguments::{self, Arguments},
};

/// The paths of the operator's two list files and the YAML texts read from them.
pub(crate) struct ListTexts {
    pub(crate) customers: String,
    pub(crate) customers_path: String,
    pub(crate) plans: String,
    pub(crate) plans_path: String,
}

impl ListTexts {
    pub(crate) fn read(arguments: &Arguments) -> Result<Self, CommandError> {
        let customers_path = arguments.required("customers")?;
        let plans_path = arguments.required("plans")?;
        Ok(Self {
            customers: arguments::read_file(&customers_path)?,
            customers_path,
            plans: arguments::read_file(&plans_path)?,
            plans_path,
        })
    }

    pub(crate) fn parse(&self) -> Result<ParsedLists, CommandError> {
        let files = ListFiles {
            customers: ListFile {
                name: &self.customers_path,
                yaml: &self.customers,
            },
            plans: ListFile {
                name: &self.plans_path,
                yaml: &self.plans,
            },
        };
        Ok(files.parse()?)
    }
}

pub(crate) fn add_options(options: &mut Options) {
    options.optopt("", "customers", "the customers' list", "FILE");
    options.optopt("", "plans", "the plans' list", "FILE");
}
