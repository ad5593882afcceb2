use std::{io::ErrorKind, time::Instant};

use bytes::Bytes;

use crate::{header_list::HeaderList, response_body::ResponseBody};

/// An HTTP response: its head, and either its whole body or a body that is still being read.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) headers: HeaderList,
    /// The body, if it was too long to be buffered.
    pub(crate) streamed_body: Option<Box<ResponseBody>>,
    pub(crate) status: u16,
    /// The whole body; empty if there is a streamed body.
    pub(crate) body: Bytes,
}

impl Response {
    /// Returns the whole body; reads a streamed one to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, or once it is known that the body is longer than `max_bytes`.
    pub(crate) async fn whole_body(mut self, max_bytes: usize) -> std::io::Result<Bytes> {
        let Some(streamed_body) = &mut self.streamed_body else {
            return Ok(self.body);
        };
        let too_long = || {
            let reason = format!("the body has more than {max_bytes} bytes");
            std::io::Error::new(ErrorKind::InvalidData, reason)
        };
        if streamed_body
            .length
            .is_some_and(|length| length > max_bytes as u64)
        {
            return Err(too_long());
        }
        let mut body = self.body.to_vec();
        while let Some(piece) = streamed_body.next().await? {
            if body.len() + piece.len() > max_bytes {
                return Err(too_long());
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.into())
    }

    /// Limits the time in which a streamed body is passed on.
    pub(crate) fn set_deadline(&mut self, deadline: Instant) {
        if let Some(streamed_body) = &mut self.streamed_body {
            streamed_body.deadline = Some(deadline);
        }
    }

    /// Copies the response; returns `None` if its body is streamed.
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
