use crate::gate_call::GateCall;

/// A request that runs at the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningWork {
    pub(crate) fingerprint: u64,
    pub(crate) is_retry: bool,
}

impl RunningWork {
    pub(crate) fn of(call: &GateCall) -> Self {
        Self {
            fingerprint: call.forwarded.fingerprint,
            is_retry: call.is_retry,
        }
    }
}
