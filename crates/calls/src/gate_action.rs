use medlarspool_types::CallId;

use crate::Refusal;

/// What the gate's edge must do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// Answer this call as refused; it is already fenced.
    Refuse {
        /// The call.
        call: CallId,
        /// The refusal.
        refusal: Refusal,
    },
    /// This call id arrived a second time: answer with the fate of the first.
    Repeated {
        /// The call.
        call: CallId,
    },
    /// Hand this call to the upstream now; it holds a slot until [`crate::Gate::finish`].
    Start {
        /// The call.
        call: CallId,
    },
}
