use bytes::Bytes;

use crate::{
    app::WorkGuard, header_list::HeaderList, response::Response, response_body::ResponseBody,
};

/// A response that this daemon writes to a server connection.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) body: ReplyBody,
    /// Whether the connection is closed after the reply, even if the client keeps it open.
    pub(crate) closes_connection: bool,
    pub(crate) headers: HeaderList,
    pub(crate) status: u16,
    /// Keeps the request counted until the reply is written; none if a planned stop needn't wait for it.
    pub(crate) work: Option<WorkGuard>,
}

/// The body of a reply.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    Full(Bytes),
    Stream(Box<ResponseBody>),
}

impl From<Response> for Reply {
    fn from(response: Response) -> Self {
        let body = match response.streamed_body {
            Some(streamed_body) => ReplyBody::Stream(streamed_body),
            None => ReplyBody::Full(response.body),
        };
        Self {
            body,
            closes_connection: false,
            headers: response.headers,
            status: response.status,
            work: None,
        }
    }
}

impl Reply {
    /// Creates a reply without headers and body.
    pub(crate) fn status(status: u16) -> Self {
        Self {
            body: ReplyBody::Full(Bytes::new()),
            closes_connection: false,
            headers: HeaderList::default(),
            status,
            work: None,
        }
    }

    pub(crate) fn with_body(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            body: ReplyBody::Full(body.into()),
            ..Self::status(status)
        }
    }

    pub(crate) fn json(body: impl Into<Bytes>) -> Self {
        Self::with_body(200, body).with_header("Content-Type", "application/json")
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<Bytes>) -> Self {
        self.headers.push(name.as_bytes(), value.into());
        self
    }
}
