use medlarspool_config::Lists;

use crate::version_row::VersionRow;

/// A version as read from the platform: its row and its lists.
#[derive(Clone)]
pub(crate) struct VersionLists {
    pub(crate) lists: Lists,
    pub(crate) row: VersionRow,
}
