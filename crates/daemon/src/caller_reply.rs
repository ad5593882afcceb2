//! The HTTP answers to callers, by the verdict on the request.

use medlarspool_proto::{CallReply, Refusal};
use medlarspool_types::Verdict;

use crate::http_reply::HttpReply;

/// Returns the HTTP answer for a reply; `docs/operating/calls.md` lists them all.
pub(crate) fn caller_reply(reply: CallReply) -> HttpReply {
    let verdict = reply.typed_verdict();
    let answer = match verdict {
        Verdict::MayHaveRun => HttpReply::text(502, "the request may have run\n"),
        Verdict::NotRun => not_run(&reply),
        Verdict::Ran if reply.status == 0 => {
            HttpReply::text(502, "the request ran, but its answer is no longer kept\n")
        }
        Verdict::Ran => HttpReply {
            body: reply.body,
            headers: reply.headers,
            status: u16::try_from(reply.status).unwrap_or(502),
        },
    };
    answer.with_verdict(verdict)
}

/// Returns 4xx where a retry of the same request would be refused as well, and otherwise 503 with a retry
/// delay.
fn not_run(reply: &CallReply) -> HttpReply {
    let refusal = reply.refusal();
    let text = format!("the request did not run. {refusal}\n");
    match refusal {
        Refusal::KeyConflict => HttpReply::text(409, &text),
        Refusal::KeyExpired => HttpReply::text(400, &text),
        Refusal::NotAllowed => {
            HttpReply::text(403, "the customer's plan does not allow this service\n")
        }
        _ => HttpReply::text(503, &text).with_retry_after(reply.retry_after_ms),
    }
}
