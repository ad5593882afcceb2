use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ConfigError;

/// The SHA-256 hash of a caller's credential; the lists contain it in place of the secret.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct CredentialHash(pub [u8; 32]);

impl CredentialHash {
    /// Hashes a credential in the form in which a caller sends it.
    #[must_use]
    pub fn of(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }
}

impl std::fmt::Display for CredentialHash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl From<CredentialHash> for String {
    fn from(hash: CredentialHash) -> Self {
        hash.to_string()
    }
}

impl std::str::FromStr for CredentialHash {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refuse = || ConfigError::CredentialHash { value: text.into() };
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(refuse());
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            let high = hex_digit(pair[0]).ok_or_else(refuse)?;
            let low = hex_digit(pair[1]).ok_or_else(refuse)?;
            *byte = high << 4 | low;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<String> for CredentialHash {
    type Error = ConfigError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
