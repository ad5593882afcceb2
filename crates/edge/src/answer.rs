use bytes::Bytes;

use crate::{answer_body::AnswerBody, header_list::HeaderList};

/// An answer that was read whole, or whose beginning was.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) headers: HeaderList,
    pub(crate) rest: Option<Box<AnswerBody>>,
    pub(crate) status: u16,
    /// The whole body, unless there is a rest, which then has all of it.
    pub(crate) whole: Bytes,
}

impl Answer {
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
