use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion};
use prost::Message;

/// A [`ConfigHead`] on the wire, with the digest in two halves because protobuf has no 128-bit integers.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct WireHead {
    /// The number of the version; 0 before any lists were accepted.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The upper 64 bits of the digest.
    #[prost(fixed64, tag = "2")]
    pub digest_high: u64,
    /// The lower 64 bits of the digest.
    #[prost(fixed64, tag = "3")]
    pub digest_low: u64,
}

impl From<ConfigHead> for WireHead {
    fn from(head: ConfigHead) -> Self {
        let [digest_high, digest_low] = split_halves(head.digest.0);
        Self {
            version: head.version.0,
            digest_high,
            digest_low,
        }
    }
}

impl From<WireHead> for ConfigHead {
    fn from(head: WireHead) -> Self {
        Self {
            version: ConfigVersion(head.version),
            digest: ConfigDigest(join_halves(head.digest_high, head.digest_low)),
        }
    }
}

/// Splits 128 bits into an upper and a lower half.
pub(crate) fn split_halves(whole: u128) -> [u64; 2] {
    let bytes = whole.to_be_bytes();
    let mut upper = [0; 8];
    let mut lower = [0; 8];
    upper.copy_from_slice(&bytes[..8]);
    lower.copy_from_slice(&bytes[8..]);
    [u64::from_be_bytes(upper), u64::from_be_bytes(lower)]
}

/// Joins an upper and a lower half into 128 bits.
pub(crate) fn join_halves(upper: u64, lower: u64) -> u128 {
    (u128::from(upper) << 64) | u128::from(lower)
}
