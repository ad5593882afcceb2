use std::time::Duration;

use medlarspool_spread::DeltaUpdate;
use medlarspool_types::ConfigHead;
use prost::Message;

use crate::WireHead;

/// Answers a request for a transfer.
#[derive(Clone, Message, PartialEq)]
pub struct TransferReply {
    /// The longest delay before the requester asks again, in milliseconds; the requester draws the delay at
    /// random. 0 if the replying daemon is not busy.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
    /// The version that the requester has after applying the reply.
    #[prost(message, optional, tag = "2")]
    pub head: Option<WireHead>,
    /// Consecutive deltas from the requester's version; none if `lists` is sent or the daemon is busy.
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub deltas: Vec<Vec<u8>>,
    /// The canonical encoding of the configuration's whole lists; empty if deltas are sent instead or the
    /// daemon is busy.
    #[prost(bytes = "vec", tag = "4")]
    pub lists: Vec<u8>,
}

impl TransferReply {
    /// Returns the reply of a daemon that already serves as many transfers as it may.
    #[must_use]
    pub fn busy(retry_after: Duration) -> Self {
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        Self {
            retry_after_ms: retry_after_ms.max(1),
            ..Self::default()
        }
    }

    /// Returns a reply that brings the requester to `head`: by updates, or by the whole lists if `updates` is
    /// absent.
    #[must_use]
    pub fn granted(
        head: ConfigHead,
        updates: Option<&[DeltaUpdate]>,
        encode_lists: impl FnOnce() -> Vec<u8>,
    ) -> Self {
        let mut reply = Self {
            head: Some(head.into()),
            ..Self::default()
        };
        match updates {
            Some(updates) => {
                reply.deltas = updates.iter().map(|update| update.delta.to_vec()).collect();
            }
            None => reply.lists = encode_lists(),
        }
        reply
    }

    /// Returns the longest delay before the next request, if the replying daemon is busy.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        (self.retry_after_ms > 0).then(|| Duration::from_millis(self.retry_after_ms))
    }

    /// Returns the version that the requester has after applying the reply.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        self.head.map_or_else(ConfigHead::default, Into::into)
    }
}
