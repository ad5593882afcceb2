use std::rc::Rc;

use medlarspool_mesh::RolloutState;

/// A status row that the decider has to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StatusWrite {
    pub(crate) service: Rc<str>,
    pub(crate) state: RolloutState,
    /// The version that the order names.
    pub(crate) to: Rc<str>,
}
