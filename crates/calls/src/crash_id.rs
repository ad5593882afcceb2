use medlarspool_types::InstanceId;

/// Identifies one crash of an upstream, so that a notice that arrives twice counts once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId {
    /// The instance whose upstream crashed.
    pub instance: InstanceId,
    /// A number that the gate which reports the crash chooses, different for each of its crashes.
    pub number: u64,
}
