use bytes::{BufMut, Bytes, BytesMut};

use crate::{
    body_framing::BodyFraming,
    body_source::BodySource,
    header_list::HeaderList,
    reply_head::{put_headers, put_length},
};

/// A request to be sent.
#[derive(Debug)]
pub(crate) struct OutgoingRequest<'a> {
    /// The body, or the beginning of a long one.
    pub(crate) body: &'a Bytes,
    /// Headers of this connection, in addition to those of the request.
    pub(crate) extra: &'a HeaderList,
    pub(crate) framing: BodyFraming,
    pub(crate) headers: &'a HeaderList,
    pub(crate) method: &'a str,
    /// The rest of a long body.
    pub(crate) body_rest: Option<&'a mut BodySource>,
    pub(crate) request_target: &'a [u8],
    /// The id that the response must have; a response without any id is accepted only on a connection that was not used
    /// before.
    pub(crate) expected_id: Option<&'a [u8]>,
}

impl OutgoingRequest<'_> {
    /// Returns the head and the buffered part of the body as they are sent.
    pub(crate) fn first_bytes(&self) -> BytesMut {
        let mut out = BytesMut::with_capacity(512 + self.body.len());
        out.put_slice(self.method.as_bytes());
        out.put_slice(b" ");
        out.put_slice(self.request_target);
        out.put_slice(b" HTTP/1.1\r\n");
        put_headers(&mut out, self.headers);
        put_headers(&mut out, self.extra);
        match (self.body_rest.is_some(), self.framing) {
            (true, BodyFraming::Length(length)) => put_length(&mut out, length),
            (true, _) => out.put_slice(b"Transfer-Encoding: chunked\r\n"),
            (false, _) if self.body.is_empty() && !expects_length(self.method) => {}
            (false, _) => put_length(&mut out, self.body.len() as u64),
        }
        out.put_slice(b"\r\n");
        if self.is_chunked() {
            put_chunk(&mut out, self.body);
        } else {
            out.put_slice(self.body);
        }
        out
    }

    /// Returns whether the body is sent in chunks, as its length isn't known yet.
    pub(crate) const fn is_chunked(&self) -> bool {
        self.body_rest.is_some() && !matches!(self.framing, BodyFraming::Length(_))
    }
}

/// Appends a chunk of a body; an empty chunk ends the body.
pub(crate) fn put_chunk(out: &mut BytesMut, piece: &[u8]) {
    out.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    out.put_slice(piece);
    out.put_slice(b"\r\n");
}

/// Returns whether a request with this method has a `Content-Length` header even if its body is empty.
fn expects_length(method: &str) -> bool {
    matches!(method, "PATCH" | "POST" | "PUT")
}
