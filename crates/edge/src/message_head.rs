use bytes::{Bytes, BytesMut};

use crate::{header_list::HeaderList, http_error::HttpError, server_options::ServerOptions};

/// The most headers of a message from outside the mesh; usual messages have some dozens at most.
pub(crate) const MAX_HEADERS: usize = 96;

/// The most headers of a hop, which adds some of its own to those of its client.
pub(crate) const MAX_HOP_HEADERS: usize = 128;

/// The request line and the headers of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) headers: HeaderList,
    pub(crate) is_http_11: bool,
    pub(crate) method: Bytes,
    pub(crate) request_target: Bytes,
}

/// The status line and the headers of a response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) headers: HeaderList,
    pub(crate) is_http_11: bool,
    pub(crate) status: u16,
}

impl RequestHead {
    /// Parses a request's head and removes it from `buffer`; returns `None` if it isn't complete yet.
    pub(crate) fn take(
        buffer: &mut BytesMut,
        options: &ServerOptions,
    ) -> Result<Option<Self>, HttpError> {
        let max_bytes = options.limits.max_header_bytes;
        let mut fields = [httparse::EMPTY_HEADER; MAX_HOP_HEADERS];
        let max_headers = options.max_headers.min(fields.len());
        let mut parsed = httparse::Request::new(&mut fields[..max_headers]);
        let Some(head_length) = head_length(parsed.parse(buffer), buffer.len(), max_bytes)? else {
            return Ok(None);
        };
        let is_http_11 = parsed.version == Some(1);
        let method = range(buffer, parsed.method.unwrap_or_default().as_bytes());
        let request_target = range(buffer, parsed.path.unwrap_or_default().as_bytes());
        let ranges = field_ranges(buffer, parsed.headers);
        let block = buffer.split_to(head_length).freeze();
        Ok(Some(Self {
            headers: header_list(&block, ranges),
            is_http_11,
            method: block.slice(method),
            request_target: block.slice(request_target),
        }))
    }

    /// Returns whether the client keeps the connection open.
    pub(crate) fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.is_http_11)
    }
}

impl ResponseHead {
    /// Parses a response's head and removes it from `buffer`; returns `None` if it isn't complete yet.
    ///
    /// A status that neither an interim nor a final response may have is an error, whoever sent it.
    pub(crate) fn take(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let Some(head_length) = head_length(parsed.parse(buffer), buffer.len(), max_bytes)? else {
            return Ok(None);
        };
        // A target broke off in an earlier head, and this response's head continues it.
        let has_two_beginnings = contains_status_line(parsed.reason.unwrap_or_default().as_bytes())
            || parsed
                .headers
                .iter()
                .any(|field| contains_status_line(field.value));
        if has_two_beginnings {
            return Err(HttpError::Malformed);
        }
        let is_http_11 = parsed.version == Some(1);
        let status = parsed.code.unwrap_or_default();
        if !is_valid_status(status) {
            return Err(HttpError::Malformed);
        }
        let ranges = field_ranges(buffer, parsed.headers);
        let block = buffer.split_to(head_length).freeze();
        Ok(Some(Self {
            headers: header_list(&block, ranges),
            is_http_11,
            status,
        }))
    }

    /// Returns whether another response to the same request follows.
    pub(crate) const fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Returns whether the server keeps the connection open.
    pub(crate) fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.is_http_11)
    }
}

/// Returns whether a response may have a status. No request asks for another protocol, to which 101 would change.
const fn is_valid_status(status: u16) -> bool {
    matches!(status, 100 | 102..=599)
}

type Range = std::ops::Range<usize>;

/// Returns the length of a head in bytes, or `None` if it isn't complete yet.
fn head_length(
    parsed: httparse::Result<usize>,
    buffered_length: usize,
    max_bytes: usize,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(head_length)) if head_length <= max_bytes => {
            Ok(Some(head_length))
        }
        Ok(httparse::Status::Partial) if buffered_length <= max_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeaderTooLong),
        Err(_) => Err(HttpError::Malformed),
    }
}

fn keeps_alive(headers: &HeaderList, is_http_11: bool) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    is_http_11 || headers.has_token("connection", "keep-alive")
}

/// Returns whether the beginning of a status line, with its status, is somewhere in `text`.
fn contains_status_line(text: &[u8]) -> bool {
    const BEGINNING: &[u8] = b"HTTP/1.1 200";
    text.windows(BEGINNING.len()).any(|part| {
        let mut pairs = part.iter().zip(BEGINNING);
        pairs.all(|(byte, model)| byte == model || byte.is_ascii_digit() && model.is_ascii_digit())
    })
}

/// Returns the range of `part`, which must be a subslice of `whole`.
fn range(whole: &[u8], part: &[u8]) -> Range {
    let start = part.as_ptr() as usize - whole.as_ptr() as usize;
    start..start + part.len()
}

fn field_ranges(buffer: &[u8], fields: &[httparse::Header]) -> Vec<(Range, Range)> {
    fields
        .iter()
        .map(|field| {
            (
                range(buffer, field.name.as_bytes()),
                range(buffer, field.value),
            )
        })
        .collect()
}

fn header_list(block: &Bytes, ranges: Vec<(Range, Range)>) -> HeaderList {
    let mut headers = HeaderList::default();
    for (name, value) in ranges {
        headers.push(block.slice(name), block.slice(value));
    }
    headers
}
