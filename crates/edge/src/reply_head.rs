use bytes::{BufMut, BytesMut};

use crate::{body_framing::BodyFraming, header_list::HeaderList};

/// Appends the head of a response.
pub(crate) fn put_reply_head(
    out: &mut BytesMut,
    status: u16,
    headers: &HeaderList,
    framing: BodyFraming,
    closes_connection: bool,
) {
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.to_string().as_bytes());
    out.put_slice(b" ");
    out.put_slice(reason_phrase(status).as_bytes());
    out.put_slice(b"\r\n");
    put_headers(out, headers);
    match framing {
        BodyFraming::Length(_) if status == 204 || status == 304 => {}
        BodyFraming::Length(length) => put_length(out, length),
        BodyFraming::Chunked | BodyFraming::UntilClose => {
            out.put_slice(b"Transfer-Encoding: chunked\r\n");
        }
    }
    if closes_connection {
        out.put_slice(b"Connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

pub(crate) fn put_headers(out: &mut BytesMut, headers: &HeaderList) {
    for (name, value) in headers.iter() {
        out.put_slice(name);
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
}

pub(crate) fn put_length(out: &mut BytesMut, length: u64) {
    out.put_slice(b"Content-Length: ");
    out.put_slice(length.to_string().as_bytes());
    out.put_slice(b"\r\n");
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
