use medlarspool_types::ConfigVersion;

use crate::Lists;

/// What an operator's two lists say.
#[derive(Clone, Debug)]
pub struct ParsedLists {
    /// The version that they are an edited copy of, if they name it.
    pub base_version: Option<ConfigVersion>,
    /// The lists.
    pub lists: Lists,
}
