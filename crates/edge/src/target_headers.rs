use std::rc::Rc;

use bytes::Bytes;
use medlarspool_adapter::{AdapterError, decode_leaving, decode_limit, headers};
use medlarspool_mesh::{RequestRate, TargetNotice};

use crate::{app::App, header_list::HeaderList, node::Node};

/// Reads what the own target says of itself in the headers of a response.
pub(crate) fn read_target_headers(app: &Rc<App>, received: &HeaderList) {
    app.core.with(|node, _| {
        let known = node.target_notice;
        let leaving = received.get(headers::TARGET_LEAVING);
        let limit = received.get(headers::TARGET_LIMIT);
        let notice = TargetNotice {
            is_leaving: decode(leaving, decode_leaving).map_or_else(
                |error| node.keep_known(&error, known.is_leaving),
                Option::unwrap_or_default,
            ),
            limit: decode(limit, decode_limit)
                .unwrap_or_else(|error| node.keep_known(&error, known.limit)),
        };
        node.receive_target_notice(notice);
    });
}

/// Decodes a header that may be absent.
fn decode<T>(
    value: Option<&Bytes>,
    decode_value: impl FnOnce(&[u8]) -> Result<T, AdapterError>,
) -> Result<Option<T>, AdapterError> {
    value.map(|value| decode_value(value)).transpose()
}

impl Node {
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

    fn receive_target_notice(&mut self, notice: TargetNotice) {
        let known = std::mem::replace(&mut self.target_notice, notice);
        if known.limit != notice.limit {
            let limit = notice.limit.map_or(-1.0, RequestRate::requests_per_s);
            log::info!(event = "target-limit", requests_per_s = limit, running = self.queue.running_count(); "");
        }
        if known.is_leaving != notice.is_leaving {
            log::info!(event = "target-leaving", leaving = notice.is_leaving; "");
        }
    }
}
