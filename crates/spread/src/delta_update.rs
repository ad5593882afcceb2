use std::sync::Arc;

use medlarspool_types::ConfigHead;

/// The encoded difference between one version of the lists and a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeltaUpdate {
    /// The only version that the delta may be applied to.
    pub base: ConfigHead,
    /// The encoded delta, which only [`crate::decode_update`] and [`crate::apply_updates`] decode.
    pub delta: Arc<[u8]>,
    /// The version that results.
    pub head: ConfigHead,
}

impl DeltaUpdate {
    /// The bytes that the framing of one update adds to the delta in a datagram. The two heads add none, since
    /// the encoded delta contains them.
    pub const OVERHEAD_BYTES: usize = 4;

    /// Returns the most bytes that the update takes in a datagram.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        Self::OVERHEAD_BYTES + self.delta.len()
    }
}
