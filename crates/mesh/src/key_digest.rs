use std::fmt::{self, Display, Formatter};

/// The length of a digest in bytes: 128 bits are enough for keys that were drawn at random, and each hop carries them.
const DIGEST_BYTES: usize = 16;

/// The digest of a client's key.
///
/// Keys are looked up and sent to other daemons by their digest, so they aren't kept in clear, and the time of a
/// lookup tells nothing about how much of a guessed key is right.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(key).as_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Parses the hexadecimal digits of a digest; none if the text isn't one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Self(number.to_be_bytes()))
    }
}

impl Display for KeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}
