use std::{cell::Cell, future::poll_fn, pin::Pin, rc::Rc, task::Poll};

use medlarspool_hop::RefusalReason;
use medlarspool_mesh::TargetChoice;

use crate::{
    app::App, gate_call::GateCall, gate_reply::GateReply, hop::forward_to_gate,
    in_flight_guard::InFlightGuard, request_scope::contain_request, run_outcome::RunOutcome,
};

/// The copies of one request that were sent to gates and have no reply yet.
///
/// A gate that is silent may still run the request: interim responses wait in congested links, and nothing tells a slow
/// path from a lost gate. So a silent hop stays open while another copy is tried, and the first answer counts. Those of
/// the other copies are cancelled when this is dropped.
#[derive(Default)]
pub(crate) struct PendingHops<'a> {
    hops: Vec<PendingHop<'a>>,
}

/// A copy of a request that was sent to a gate.
pub(crate) struct PendingHop<'a> {
    pub(crate) choice: TargetChoice,
    /// Whether only this copy has the request's whole body, which can't be sent again.
    pub(crate) has_body_rest: bool,
    /// Whether the copy was paid for out of the retry budget.
    pub(crate) is_paid: bool,
    reply: Pin<Box<dyn Future<Output = GateReply> + 'a>>,
    /// Whether the gate would refuse the request by its latest load.
    pub(crate) seems_busy: bool,
    silence: Rc<HopSilence>,
}

/// What the exchange with a gate tells of its silence.
#[derive(Default)]
struct HopSilence {
    is_silent: Cell<bool>,
    /// Whether the gate was silent for another while, which wasn't handled yet.
    is_unhandled: Cell<bool>,
}

/// What happened to one of the copies.
#[allow(clippy::large_enum_variant)] // An event is handled at once.
pub(crate) enum HopEvent<'a> {
    Replied(PendingHop<'a>, GateReply),
    /// The gate of the hop with this index has been silent for a while, or for another while.
    Silent(usize),
}

impl<'a> PendingHops<'a> {
    /// Sends a copy of a request to the gate of the chosen target.
    pub(crate) fn send(
        &mut self,
        app: &'a Rc<App>,
        choice: TargetChoice,
        call: GateCall,
        in_flight: InFlightGuard<'a>,
        seems_busy: bool,
        is_paid: bool,
    ) {
        let address = choice.address;
        let has_body_rest = call.forwarded.body_rest.borrow().is_some();
        let silence = Rc::new(HopSilence::default());
        let observed = silence.clone();
        let reply = Box::pin(async move {
            let _in_flight = in_flight;
            let on_silence = |is_silent| {
                observed.is_silent.set(is_silent);
                observed.is_unhandled.set(is_silent);
            };
            let id = call.forwarded.id.clone();
            let forwarding = forward_to_gate(app, address, call, &on_silence);
            let reply = contain_request(id, forwarding).await;
            reply.unwrap_or_else(|| {
                GateReply::without_gate(RunOutcome::Lost(RefusalReason::HopLost))
            })
        });
        self.hops.push(PendingHop {
            choice,
            has_body_rest,
            is_paid,
            reply,
            seems_busy,
            silence,
        });
    }

    /// Returns how many copies are pending.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.hops.len()).unwrap_or(u32::MAX)
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.hops.is_empty()
    }

    /// Returns whether a copy is pending at a gate that isn't silent.
    pub(crate) fn has_responsive(&self) -> bool {
        self.hops.iter().any(|hop| !hop.silence.is_silent.get())
    }

    pub(crate) fn get(&self, index: usize) -> &PendingHop<'a> {
        &self.hops[index]
    }

    /// Waits until a gate replies or has been silent for a while. There must be a pending hop.
    pub(crate) async fn next_event(&mut self) -> HopEvent<'a> {
        poll_fn(|cx| {
            for index in 0..self.hops.len() {
                let hop = &mut self.hops[index];
                if let Poll::Ready(reply) = hop.reply.as_mut().poll(cx) {
                    return Poll::Ready(HopEvent::Replied(self.hops.remove(index), reply));
                }
                if hop.silence.is_unhandled.take() {
                    return Poll::Ready(HopEvent::Silent(index));
                }
            }
            Poll::Pending
        })
        .await
    }
}
