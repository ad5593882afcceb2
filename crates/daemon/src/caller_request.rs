//! Reads a caller's HTTP request.

use std::{io::Read, time::Duration};

use medlarspool_calls::RequestContext;
use medlarspool_proto::Header;
use medlarspool_types::ServiceName;
use tiny_http::Request;

use crate::{
    http_reply::HttpReply,
    upstream_client::{REMAINING_HEADER, is_end_to_end},
};

/// Headers that the entry reads itself and does not pass on.
const ENTRY_HEADERS: [&str; 3] = ["authorization", REMAINING_HEADER, RequestContext::HEADER];

/// Reads the whole body, or refuses one of more than `limit` bytes.
pub(crate) fn body(request: &mut Request, max_bytes: u64) -> Result<Vec<u8>, HttpReply> {
    let mut body = Vec::new();
    request
        .as_reader()
        .take(max_bytes + 1)
        .read_to_end(&mut body)
        .map_err(|_| HttpReply::text(400, "the body can't be read\n"))?;
    if body.len() as u64 > max_bytes {
        return Err(HttpReply::text(413, "the body is too large\n"));
    }
    Ok(body)
}

/// Returns the request context; a request carries one if an upstream made it while it ran another.
pub(crate) fn context(request: &Request) -> Result<Option<RequestContext>, HttpReply> {
    header(request, RequestContext::HEADER)
        .map(|text| text.parse())
        .transpose()
        .map_err(|error| HttpReply::text(400, &format!("{error}\n")))
}

/// Returns the caller's bearer token; it is empty if there is none.
pub(crate) fn credential(request: &Request) -> String {
    let authorization = header(request, "authorization").unwrap_or_default();
    let credential = authorization.strip_prefix("Bearer ").unwrap_or_default();
    credential.to_owned()
}

/// Returns the value of the first header with this name, whose case does not matter.
pub(crate) fn header(request: &Request, name: &'static str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str().to_owned())
}

/// Returns the headers that are passed on to the upstream.
pub(crate) fn headers(request: &Request) -> Vec<Header> {
    request
        .headers()
        .iter()
        .map(|header| Header {
            name: header.field.as_str().as_str().to_ascii_lowercase(),
            value: header.value.as_str().to_owned(),
        })
        .filter(|header| is_end_to_end(&header.name))
        .filter(|header| !ENTRY_HEADERS.contains(&header.name.as_str()))
        .collect()
}

/// Returns how long the caller still waits, from [`REMAINING_HEADER`]; `None` if the request lacks that
/// header.
pub(crate) fn max_wait(request: &Request) -> Result<Option<Duration>, HttpReply> {
    header(request, REMAINING_HEADER)
        .map(|text| {
            text.parse().map(Duration::from_millis).map_err(|_| {
                let text = format!("{REMAINING_HEADER}: `{text}` is no number of milliseconds\n");
                HttpReply::text(400, &text)
            })
        })
        .transpose()
}

/// Splits the URL into the service, which is its first segment, and the path that the upstream gets.
pub(crate) fn service_and_path(url: &str) -> Result<(ServiceName, String), HttpReply> {
    let rest = url.strip_prefix('/').unwrap_or(url);
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service
        .parse()
        .map_err(|error| HttpReply::text(404, &format!("no such service: {error}\n")))?;
    Ok((service, format!("/{path}")))
}
