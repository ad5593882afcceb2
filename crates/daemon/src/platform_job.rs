use medlarspool_types::ConfigHead;

use crate::upstream_record::UpstreamRecord;

/// What the control thread asks of the thread that talks to the platform.
pub(crate) enum PlatformJob {
    /// Write this daemon's own upstream, read the others, and fetch the lists if they are newer.
    Poll {
        held: ConfigHead,
        own: Option<UpstreamRecord>,
    },
}
