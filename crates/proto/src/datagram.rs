use medlarspool_types::{ConfigHead, Incarnation, InstanceId};
use prost::Message;

use crate::{FleetKey, MembershipPayload, ProtoError, SpreadPayload, WireHead};

/// One control datagram between two daemons, inside its seal.
///
/// The sender's configuration head rides on every datagram, whatever else it says. See
/// `docs/design/overview.md`.
#[derive(Clone, Message, PartialEq)]
pub struct Datagram {
    /// Who sent it.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// The life of the process that sent it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The version that the sender serves by; absent if it isn't ready.
    #[prost(message, optional, tag = "3")]
    pub head: Option<WireHead>,
    /// What it says about changes.
    #[prost(message, optional, tag = "4")]
    pub spread: Option<SpreadPayload>,
    /// What it says about members.
    #[prost(message, optional, tag = "5")]
    pub membership: Option<MembershipPayload>,
    /// Whether the sender wants a bare datagram back, for the head on it.
    #[prost(bool, tag = "6")]
    pub head_wanted: bool,
}

impl Datagram {
    /// The bytes that IPv4 and UDP put before each datagram.
    pub const IP_UDP_HEADER_BYTES: usize = 28;
    /// The largest datagram, seal included, so that none is fragmented on the way.
    pub const MAX_BYTES: usize = 1_200;

    /// Returns an envelope without a payload.
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

    /// Returns the datagram as it travels.
    #[must_use]
    pub fn seal(&self, key: &FleetKey) -> Vec<u8> {
        key.seal(&self.encode_to_vec())
    }

    /// Reads a datagram that the fleet's key sealed.
    ///
    /// # Errors
    ///
    /// Fails if the seal is another's or the content can't be read.
    pub fn open(key: &FleetKey, sealed: &[u8]) -> Result<Self, ProtoError> {
        let content = key.open(sealed).ok_or(ProtoError::DatagramSeal)?;
        Self::decode(content).map_err(|error| ProtoError::Datagram(error.to_string()))
    }

    /// Returns the sender's head; the default one if it isn't ready.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        self.head.map_or_else(ConfigHead::default, Into::into)
    }
}
