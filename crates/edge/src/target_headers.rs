use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use medlarspool_adapter::{AdapterError, decode_leaving, decode_limit, headers};
use medlarspool_mesh::{RequestRate, TargetLimit, TargetNotice};
use stakker::CX;

use crate::{app::App, header_list::HeaderList, node::Node};

/// Applies what target `target_id` says of itself in the headers of the response to a request sent at `sent_at`.
pub(crate) fn read_target_headers(
    app: &Rc<App>,
    target_id: &str,
    sent_at: Instant,
    received: &HeaderList,
) {
    app.core.with(|node, cx| {
        if node
            .own_target
            .record()
            .is_some_and(|known| *known.id == *target_id)
        {
            let notice = node.decode_notice(received);
            node.receive_target_notice(cx, sent_at, notice);
        }
    });
}

/// Returns whether the headers of a target's response say that it leaves.
pub(crate) fn says_it_leaves(received: &HeaderList) -> bool {
    decode(received.get(headers::TARGET_LEAVING), decode_leaving) == Ok(Some(true))
}

/// Decodes a header that may be absent.
fn decode<T>(
    value: Option<&Bytes>,
    decode_value: impl FnOnce(&[u8]) -> Result<T, AdapterError>,
) -> Result<Option<T>, AdapterError> {
    value.map(|value| decode_value(value)).transpose()
}

impl Node {
    fn decode_notice(&mut self, received: &HeaderList) -> TargetNotice {
        let known = self.target_notice;
        let leaving = received.get(headers::TARGET_LEAVING);
        let limit = received.get(headers::TARGET_LIMIT);
        TargetNotice {
            is_leaving: decode(leaving, decode_leaving).map_or_else(
                |error| self.keep_known(&error, known.is_leaving),
                Option::unwrap_or_default,
            ),
            limit: decode(limit, decode_limit)
                .unwrap_or_else(|error| self.keep_known(&error, known.limit)),
        }
    }

    /// Returns what is known instead of the value of an invalid header; logs the header, unless it is the one that
    /// was logged last.
    fn keep_known<T>(&mut self, error: &AdapterError, known: T) -> T {
        let error = error.to_string();
        if self.invalid_target_header.as_ref() != Some(&error) {
            log::warn!(event = "target-header-invalid", error = error.as_str(); "");
            self.invalid_target_header = Some(error);
        }
        known
    }

    /// Applies the limit that the target named, and ends its use if it leaves.
    ///
    /// Other daemons are told at once that there is a limit, or none any more; a changed one is in the replies to
    /// their requests and in the regular reports.
    fn receive_target_notice(&mut self, cx: CX![], sent_at: Instant, notice: TargetNotice) {
        let now = cx.now();
        self.target_notice = notice;
        let limit_before = self.queue.limiter.limit();
        self.queue
            .limiter
            .receive_response(now, sent_at, notice.limit);
        let limit = self.queue.limiter.limit();
        if limit != limit_before && (is_limited(limit) || is_limited(limit_before)) {
            let requests_per_s = notice.limit.map_or(-1.0, RequestRate::requests_per_s);
            log::info!(event = "target-limit", requests_per_s = requests_per_s, running = self.queue.running_count(); "");
            if is_limited(limit) != is_limited(limit_before) {
                self.schedule_report(cx);
            }
            self.grant_slots(cx);
        }
        if notice.is_leaving
            && let Some(target) = self.own_target.record().map(|known| known.id.clone())
            && self.own_target.mark_leaving(now, &target)
        {
            log::info!(event = "target-leaving", target = &*target; "");
            self.apply_target_change(cx);
        }
    }
}

const fn is_limited(limit: TargetLimit) -> bool {
    matches!(limit, TargetLimit::Limited(_))
}
