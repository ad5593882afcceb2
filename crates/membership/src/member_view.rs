use crate::{Announcement, MemberState};

/// A member as this daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'view> {
    /// The newest words of the member.
    pub announcement: &'view Announcement,
    /// How it stands.
    pub state: MemberState,
}
