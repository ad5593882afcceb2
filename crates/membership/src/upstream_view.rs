use crate::{Announcement, MemberState, UpstreamDetail, UpstreamState};

/// An upstream of a service as this daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamView<'view> {
    /// The newest announcement of its daemon.
    pub announcement: &'view Announcement,
    /// Its detail; none unless this daemon routes to the service and has received it.
    pub detail: Option<&'view UpstreamDetail>,
    /// The state of its daemon.
    pub state: MemberState,
}

impl UpstreamView<'_> {
    /// Returns whether the upstream may be given new work, as far as this daemon knows.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
            && self.announcement.upstream == UpstreamState::Serving
    }
}
