use bytes::Bytes;

use crate::{header_list::HeaderList, response_body::ResponseBody};

/// An answer that was read whole, or whose beginning was.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) headers: HeaderList,
    pub(crate) rest: Option<Box<ResponseBody>>,
    pub(crate) status: u16,
    /// The whole body, unless there is a rest, which then has all of it.
    pub(crate) whole: Bytes,
}

impl Response {
    /// Returns the whole body, and waits for the rest of it if there is one.
    pub(crate) async fn whole_body(mut self) -> std::io::Result<Bytes> {
        let Some(rest) = &mut self.rest else {
            return Ok(self.whole);
        };
        let mut whole = self.whole.to_vec();
        while let Some(piece) = rest.next().await? {
            whole.extend_from_slice(&piece);
        }
        Ok(whole.into())
    }

    /// Copies an answer that was read whole.
    pub(crate) fn copy(&self) -> Option<Self> {
        if self.rest.is_some() {
            return None;
        }
        Some(Self {
            headers: self.headers.clone(),
            rest: None,
            status: self.status,
            whole: self.whole.clone(),
        })
    }
}
