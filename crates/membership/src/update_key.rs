use medlarspool_types::InstanceId;

/// What a piece of news is about; what it says is read from the view when it is sent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum UpdateKey {
    /// A daemon is accused.
    Accusation(InstanceId),
    /// A daemon announced something.
    Announcement(InstanceId),
}
