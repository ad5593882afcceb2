use crate::gate_call::GateCall;

/// What is recorded of a request that runs at the target or waits for a slot, for its retry budget and crashes.
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
