use prost::Message;

use crate::WireCrash;

/// What the gates of a service tell each other about requests that crash upstreams.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CrashNotice {
    /// Whether the request is cleared of the crashes; else it is blamed for them.
    #[prost(bool, tag = "1")]
    pub cleared: bool,
    /// The crashes.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<WireCrash>,
    /// The requests' fingerprints, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub fingerprints: Vec<Vec<u8>>,
}
