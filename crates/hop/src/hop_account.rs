use std::rc::Rc;

use medlarspool_mesh::KeyDigest;

/// Whose request a hop carries: the account that the entry found, and the digest of the key that was sent.
///
/// The gate checks the digest against its own configuration. It uses the name only if that has no accounts yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HopAccount {
    /// The digest of the client's key.
    pub key: KeyDigest,
    /// The account's name.
    pub name: Rc<str>,
}

impl HopAccount {
    /// Encodes the account for a hop's header.
    #[must_use]
    pub fn encode(&self) -> String {
        format!("{} {}", self.key, self.name)
    }

    /// Decodes a hop's header; returns `None` if it is not valid.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let (key, name) = text.split_once(' ')?;
        Some(Self {
            key: KeyDigest::parse(key)?,
            name: name.into(),
        })
    }
}
