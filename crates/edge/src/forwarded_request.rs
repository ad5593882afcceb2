use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;

use crate::{
    body_framing::BodyFraming, body_source::BodySource, header_list::HeaderList,
    outgoing_request::OutgoingRequest,
};

/// The part of a request that is the same on each hop and in each attempt.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    pub(crate) body: Bytes,
    /// A hash over the method, the host, the request target, the caller's service and the buffered part of the
    /// body.
    pub(crate) fingerprint: u64,
    pub(crate) framing: BodyFraming,
    pub(crate) headers: HeaderList,
    pub(crate) id: Option<Bytes>,
    pub(crate) method: Rc<str>,
    /// The rest of a long body. It can be sent only once, so there is only one attempt with it.
    pub(crate) body_rest: RefCell<Option<BodySource>>,
    pub(crate) request_target: Bytes,
}

impl ForwardedRequest {
    /// Returns the request to be sent, with the headers `extra` that belong to this connection.
    pub(crate) fn outgoing<'a>(
        &'a self,
        extra: &'a HeaderList,
        body_rest: Option<&'a mut BodySource>,
    ) -> OutgoingRequest<'a> {
        OutgoingRequest {
            body: &self.body,
            expected_id: None,
            extra,
            framing: self.framing,
            headers: &self.headers,
            method: &self.method,
            body_rest,
            request_target: &self.request_target,
        }
    }

    /// Returns the request's id for logs.
    pub(crate) fn id_text(&self) -> &str {
        id_text(self.id.as_ref())
    }
}

/// Returns a request's id for logs; `-` if there is none or it is not UTF-8.
pub(crate) fn id_text(id: Option<&Bytes>) -> &str {
    id.and_then(|id| std::str::from_utf8(id).ok())
        .unwrap_or("-")
}
