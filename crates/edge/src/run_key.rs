use std::rc::Rc;

use bytes::Bytes;

use crate::gate_call::GateCall;

/// What tells an at-most-once request from all others at a gate.
///
/// Clients choose the ids of their requests, so two clients may use the same one. Without the other fields, one of
/// them would get the reply to the other's request after its hop was lost.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct RunKey {
    /// The account's name as the entry knows it; none for requests without an account.
    account: Option<Rc<str>>,
    fingerprint: u64,
    /// The id that the client chose.
    pub(crate) id: Bytes,
}

impl RunKey {
    /// Returns the key of a request; none if it has no id. An entry sends the same key when it asks for the outcome.
    pub(crate) fn of(call: &GateCall) -> Option<Self> {
        let id = call.forwarded.id.clone()?;
        Some(Self {
            account: call.account.as_ref().map(|account| account.name.clone()),
            fingerprint: call.forwarded.fingerprint,
            id,
        })
    }
}
