use medlarspool_types::InstanceId;

/// The kind and the member of a queued update; its content is read from the view when it is sent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum UpdateKey {
    /// The accusation against a member.
    Accusation(InstanceId),
    /// The announcement of a member.
    Announcement(InstanceId),
}
