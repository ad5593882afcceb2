use std::time::Duration;

use bytes::Bytes;
use medlarspool_adapter::headers;
use medlarspool_hop::RefusalReason;
use medlarspool_types::Verdict;

use crate::reply::Reply;

/// The retry delay for a client that this daemon can't serve now. Other daemons can, so it is short, but
/// longer than clients need to open a new connection.
pub(crate) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);

/// The mean retry delay for a client whose key can't be checked: a daemon asks for a confirmation about as often.
pub(crate) const RETRY_UNCONFIRMED_AFTER: Duration = Duration::from_millis(500);

/// Why a client gets no response of a target, and whether its request may have run.
pub(crate) struct Failure {
    pub(crate) reason: RefusalReason,
    /// After how long the client may retry; sent to it if it is set.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) verdict: Verdict,
}

impl Failure {
    pub(crate) const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            verdict: Verdict::NotRun,
        }
    }

    pub(crate) const fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            verdict: Verdict::MayHaveRun,
        }
    }

    /// Returns the HTTP status. 503 promises that the request did not run.
    pub(crate) const fn status(&self) -> u16 {
        match (self.verdict, self.reason) {
            (_, RefusalReason::NoRoute) => 404,
            (_, RefusalReason::OverQuota) => 429,
            (_, RefusalReason::Unauthorized) => 401,
            (Verdict::NotRun, _) => 503,
            (_, RefusalReason::Deadline) => 504,
            (_, _) => 502,
        }
    }

    /// Builds the reply to the client, with the id of its request if there is one.
    pub(crate) fn reply(&self, id: Option<&Bytes>) -> Reply {
        let mut reply = Reply::status(self.status());
        if let Some(id) = id {
            reply
                .headers
                .push(headers::REQUEST_ID.as_bytes(), id.clone());
        }
        if self.reason == RefusalReason::Unauthorized {
            reply.headers.push(&b"WWW-Authenticate"[..], &b"Bearer"[..]);
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            reply.headers.push(headers::RETRY_AFTER.as_bytes(), seconds);
        }
        reply
    }
}
