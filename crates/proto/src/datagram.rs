use medlarspool_types::{ConfigHead, Incarnation, InstanceId};
use prost::Message;

use crate::{FleetKey, MembershipPayload, ProtoError, SpreadPayload, WireHead};

/// The content of one control datagram between two daemons.
///
/// Every datagram carries the sender's configuration head, whatever its payload. See
/// `docs/design/overview.md`.
#[derive(Clone, Message, PartialEq)]
pub struct Datagram {
    /// The instance of the sender.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// The incarnation of the sender's process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The head of the configuration that the sender serves by; absent if it isn't ready.
    #[prost(message, optional, tag = "3")]
    pub head: Option<WireHead>,
    /// A message about changes of the configuration, if the datagram carries one.
    #[prost(message, optional, tag = "4")]
    pub spread: Option<SpreadPayload>,
    /// A message about members, if the datagram carries one.
    #[prost(message, optional, tag = "5")]
    pub membership: Option<MembershipPayload>,
    /// Whether the receiver should reply with a datagram without a payload, so that the sender learns
    /// the receiver's head.
    #[prost(bool, tag = "6")]
    pub head_wanted: bool,
}

impl Datagram {
    /// The size of the IPv4 and UDP headers of each datagram, in bytes.
    pub const IP_UDP_HEADER_BYTES: usize = 28;
    /// The largest datagram in bytes, including its authentication tag; small enough to avoid IP
    /// fragmentation.
    pub const MAX_BYTES: usize = 1_200;

    /// Returns a datagram without a payload.
    #[must_use]
    pub fn from_sender(sender: &InstanceId, incarnation: Incarnation, head: ConfigHead) -> Self {
        Self {
            sender: sender.to_string(),
            incarnation: incarnation.0,
            head: (head != ConfigHead::default()).then(|| head.into()),
            spread: None,
            membership: None,
            head_wanted: false,
        }
    }

    /// Returns the encoded datagram, preceded by its authentication tag.
    #[must_use]
    pub fn seal(&self, key: &FleetKey) -> Vec<u8> {
        key.seal(&self.encode_to_vec())
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`ProtoError::DatagramSeal`] if the authentication tag was not made with this key, and
    /// [`ProtoError::Datagram`] if the content can't be decoded.
    pub fn open(key: &FleetKey, sealed: &[u8]) -> Result<Self, ProtoError> {
        let content = key.open(sealed).ok_or(ProtoError::DatagramSeal)?;
        Self::decode(content).map_err(|error| ProtoError::Datagram(error.to_string()))
    }

    /// Returns the sender's head, or the default one if the sender isn't ready.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        self.head.map_or_else(ConfigHead::default, Into::into)
    }
}
