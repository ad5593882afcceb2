use crate::ProtoError;

/// The minimum length of the key in the settings, in characters.
const MIN_KEY_CHARACTERS: usize = 16;

/// The size of a datagram's authentication tag, in bytes.
const TAG_BYTES: usize = 16;

/// The key that all daemons of a fleet share; peers without it are refused.
///
/// It authenticates datagrams but does not encrypt them.
#[derive(Clone)]
pub struct FleetKey {
    datagram_key: [u8; 32],
    token: String,
}

impl FleetKey {
    /// Derives the datagram key and the gRPC token from the key in the settings.
    ///
    /// # Errors
    ///
    /// Returns [`ProtoError::FleetKey`] if the text is shorter than 16 characters.
    pub fn derive(text: &str) -> Result<Self, ProtoError> {
        if text.chars().count() < MIN_KEY_CHARACTERS {
            // Only the length is shown, so that the key does not reach a log.
            return Err(ProtoError::FleetKey("*".repeat(text.chars().count())));
        }
        let token = blake3::derive_key("medlarspool gRPC 2026", text.as_bytes());
        Ok(Self {
            datagram_key: blake3::derive_key("medlarspool datagram 2026", text.as_bytes()),
            token: blake3::Hash::from_bytes(token).to_hex().to_string(),
        })
    }

    /// Verifies a datagram and returns the message in it, or nothing if the authentication tag is not valid
    /// for this key.
    #[must_use]
    pub fn open<'datagram>(&self, datagram: &'datagram [u8]) -> Option<&'datagram [u8]> {
        let (tag, message) = datagram.split_at_checked(TAG_BYTES)?;
        let expected = self.tag(message);
        constant_time_equal(&expected, tag).then_some(message)
    }

    /// Returns the datagram to send: the message, preceded by its authentication tag.
    #[must_use]
    pub fn seal(&self, message: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(TAG_BYTES + message.len());
        datagram.extend_from_slice(&self.tag(message));
        datagram.extend_from_slice(message);
        datagram
    }

    /// Returns the token that a daemon sends with each gRPC request.
    #[must_use]
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Returns whether a token is that of this key, in a time that doesn't depend on where the two differ.
    #[must_use]
    pub fn accepts(&self, token: &[u8]) -> bool {
        constant_time_equal(self.token.as_bytes(), token)
    }

    /// Returns the authentication tag: the first bytes of the message's keyed hash.
    fn tag(&self, message: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.datagram_key, message);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetKey(hidden)")
    }
}

/// Compares hashes, so that the time doesn't depend on where the inputs differ.
fn constant_time_equal(left: &[u8], right: &[u8]) -> bool {
    blake3::hash(left) == blake3::hash(right)
}
