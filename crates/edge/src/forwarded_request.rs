use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;

use crate::{
    body_framing::BodyFraming, body_source::BodySource, header_list::HeaderList,
    outgoing_request::OutgoingRequest,
};

/// A request as it goes on: what is the same at each hop and each try.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    pub(crate) body: Bytes,
    pub(crate) fingerprint: u64,
    pub(crate) framing: BodyFraming,
    pub(crate) headers: HeaderList,
    pub(crate) id: Option<Bytes>,
    pub(crate) method: Rc<str>,
    /// The rest of a long body; there is only one try with it.
    pub(crate) body_rest: RefCell<Option<BodySource>>,
    pub(crate) target: Bytes,
}

impl ForwardedRequest {
    /// Returns the request as it is sent to the next hop, with the headers of that hop.
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
            target: &self.target,
        }
    }

    /// Returns the id for logs.
    pub(crate) fn id_text(&self) -> &str {
        id_text(self.id.as_ref())
    }
}

/// Returns a request's id for logs; `-` if it has none that is text.
pub(crate) fn id_text(id: Option<&Bytes>) -> &str {
    id.and_then(|id| std::str::from_utf8(id).ok())
        .unwrap_or("-")
}
