use crate::{Announcement, MemberState};

/// A member as this daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'view> {
    /// The newest announcement of the member.
    pub announcement: &'view Announcement,
    /// The state of the member.
    pub state: MemberState,
}
