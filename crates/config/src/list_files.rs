use medlarspool_types::ConfigVersion;

use crate::{
    ConfigError, ListFile, Lists, ParsedLists, check,
    documents::{self, CustomersDocument, PlansDocument},
};

/// The YAML texts of the two lists.
#[derive(Clone, Copy, Debug)]
pub struct ListFiles<'file> {
    /// The customers' list.
    pub customers: ListFile<'file>,
    /// The plans' list.
    pub plans: ListFile<'file>,
}

impl ListFiles<'_> {
    /// Parses and checks both lists.
    ///
    /// # Errors
    ///
    /// Returns the first fault that was found; an error about a field gives the list, the line, the
    /// field and its value.
    pub fn parse(&self) -> Result<ParsedLists, ConfigError> {
        let customers = documents::read_customers(&self.customers)?;
        let plans = documents::read_plans(&self.plans)?;
        check::check_documents(self, &customers, &plans)?;
        let base_version = self.base_version(&customers, &plans)?;
        let lists = Lists::new(
            customers.customers.into_iter().map(|p| p.entry).collect(),
            plans.plans.into_iter().map(|p| p.entry).collect(),
            plans.services.into_iter().map(|p| p.entry).collect(),
        )?;
        Ok(ParsedLists {
            base_version,
            lists,
        })
    }

    /// Returns the base version that either list names; if both do, it must be the same.
    fn base_version(
        &self,
        customers: &CustomersDocument,
        plans: &PlansDocument,
    ) -> Result<Option<ConfigVersion>, ConfigError> {
        match (customers.base_version, plans.base_version) {
            (Some(in_customers), Some(in_plans)) if in_customers != in_plans => {
                let reason = format!(
                    "`{in_plans}` differs from `{in_customers}` in {}",
                    self.customers.name
                );
                let line = plans.base_version_line;
                Err(self.plans.field_error("base_version", line, reason))
            }
            (in_customers, in_plans) => Ok(in_customers.or(in_plans)),
        }
    }
}
