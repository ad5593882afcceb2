use medlarspool_types::InstanceId;

/// Names one crash of an upstream, so that a report that arrives twice counts once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId {
    /// The instance whose upstream crashed.
    pub instance: InstanceId,
    /// Drawn by whoever reports the crash.
    pub number: u64,
}
