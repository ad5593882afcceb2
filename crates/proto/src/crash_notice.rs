use prost::Message;

use crate::WireCrash;

/// Notifies another gate of the same service about requests that are suspected of crashing upstreams.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CrashNotice {
    /// Whether the requests did not cause the crashes; if false, they are suspected of causing them.
    #[prost(bool, tag = "1")]
    pub cleared: bool,
    /// The crashes of which the requests are suspected or cleared.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<WireCrash>,
    /// The requests' fingerprints, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub fingerprints: Vec<Vec<u8>>,
}
