use medlarspool_types::InstanceId;

/// Identifies one crash of an upstream, so that a notice that arrives twice counts once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId {
    /// The instance whose upstream crashed.
    pub instance: InstanceId,
    /// Chosen by the gate that reports the crash, different for each crash.
    pub number: u64,
}
