use medlarspool_types::{Incarnation, InstanceId};

use crate::AccusationKind;

/// A report that one incarnation of a member is suspect or dead; only a higher incarnation of that
/// member refutes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accusation {
    /// The hash of the accuser's instance id, by which independent confirmations are counted.
    pub accuser: u32,
    /// The incarnation that is accused.
    pub incarnation: Incarnation,
    /// The accused member.
    pub instance: InstanceId,
    /// Whether the member is reported as suspect or dead.
    pub kind: AccusationKind,
}
