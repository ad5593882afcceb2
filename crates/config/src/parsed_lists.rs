use medlarspool_types::ConfigVersion;

use crate::Lists;

/// The result of parsing an operator's two lists.
#[derive(Clone, Debug)]
pub struct ParsedLists {
    /// The version that the operator's lists are an edited copy of, if they name it.
    pub base_version: Option<ConfigVersion>,
    /// The lists, which passed all checks.
    pub lists: Lists,
}
