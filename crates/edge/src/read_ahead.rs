use std::{collections::VecDeque, rc::Rc, time::Instant};

use bytes::Bytes;

use crate::response_buffers::ResponseBuffers;

/// The pieces of a response's body that were read ahead of its reader; their bytes count as held until they are sent.
pub(crate) struct ReadAhead {
    buffers: Rc<ResponseBuffers>,
    /// The bytes of `pieces`, and of the piece that the reader sends.
    held_bytes: usize,
    /// Whether the whole body was queued on the link at its beginning, since its length is known.
    is_queued: bool,
    pieces: VecDeque<Bytes>,
    /// When the link will have sent the bytes that are queued on it.
    sent_at: Option<Instant>,
    /// The bytes of the piece that the reader sends.
    taken_bytes: usize,
    /// The bytes that are queued on the link and were not given to the reader.
    unsent_bytes: u64,
}

impl ReadAhead {
    /// Begins with a body of this length, if it is known.
    pub(crate) fn new(buffers: Rc<ResponseBuffers>, length: Option<u64>) -> Self {
        let sent_at = length.and_then(|length| buffers.queue_on_link(length));
        Self {
            buffers,
            held_bytes: 0,
            is_queued: length.is_some(),
            pieces: VecDeque::new(),
            sent_at,
            taken_bytes: 0,
            unsent_bytes: length.unwrap_or_default(),
        }
    }

    /// Returns whether another piece may be read before the reader has sent the present ones.
    pub(crate) fn has_room(&self) -> bool {
        self.buffers.has_room(self.held_bytes)
    }

    pub(crate) const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn push(&mut self, piece: Bytes) {
        self.buffers.hold(piece.len());
        self.held_bytes += piece.len();
        if !self.is_queued {
            self.sent_at = self.buffers.queue_on_link(piece.len() as u64);
            self.unsent_bytes += piece.len() as u64;
        }
        self.pieces.push_back(piece);
    }

    /// Gives the next piece to the reader, which has sent the one before it.
    pub(crate) fn take(&mut self) -> Option<Bytes> {
        self.buffers.release(self.taken_bytes);
        self.held_bytes -= self.taken_bytes;
        let piece = self.pieces.pop_front();
        self.taken_bytes = piece.as_ref().map_or(0, Bytes::len);
        self.unsent_bytes = self.unsent_bytes.saturating_sub(self.taken_bytes as u64);
        piece
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.buffers.release(self.held_bytes);
        if let Some(sent_at) = self.sent_at
            && self.unsent_bytes > 0
        {
            self.buffers.remove_from_link(self.unsent_bytes, sent_at);
        }
    }
}
