use bytes::Bytes;

use crate::{header_list::HeaderList, response_body::ResponseBody};

/// An answer that was read whole, or whose beginning was.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) headers: HeaderList,
    pub(crate) streamed_body: Option<Box<ResponseBody>>,
    pub(crate) status: u16,
    /// The whole body, unless there is a rest, which then has all of it.
    pub(crate) body: Bytes,
}

impl Response {
    /// Returns the whole body, and waits for the rest of it if there is one.
    pub(crate) async fn whole_body(mut self) -> std::io::Result<Bytes> {
        let Some(streamed_body) = &mut self.streamed_body else {
            return Ok(self.body);
        };
        let mut body = self.body.to_vec();
        while let Some(piece) = streamed_body.next().await? {
            body.extend_from_slice(&piece);
        }
        Ok(body.into())
    }

    /// Copies an answer that was read whole.
    pub(crate) fn copy(&self) -> Option<Self> {
        if self.streamed_body.is_some() {
            return None;
        }
        Some(Self {
            headers: self.headers.clone(),
            streamed_body: None,
            status: self.status,
            body: self.body.clone(),
        })
    }
}
