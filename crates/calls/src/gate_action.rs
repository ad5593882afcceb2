use medlarspool_types::CallId;

use crate::Refusal;

/// What the daemon must do for a gate now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// Answer this call as refused; it is already fenced.
    Refuse {
        /// The call.
        call: CallId,
        /// The refusal.
        refusal: Refusal,
    },
    /// A call with this id arrived before: answer with the fate of that first arrival.
    Repeated {
        /// The call.
        call: CallId,
    },
    /// Send this call to the upstream now; it holds a slot until [`crate::Gate::finish`].
    Start {
        /// The call.
        call: CallId,
    },
}
