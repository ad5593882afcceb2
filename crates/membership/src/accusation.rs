use medlarspool_types::{Incarnation, InstanceId};

use crate::AccusationKind;

/// What a daemon says of another one's life; only a higher incarnation of the accused refutes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accusation {
    /// The hash of the accuser's instance, so that independent confirmations can be counted.
    pub accuser: u32,
    /// The life that is accused.
    pub incarnation: Incarnation,
    /// The accused.
    pub instance: InstanceId,
    /// What it is accused of.
    pub kind: AccusationKind,
}
