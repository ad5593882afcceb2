use serde::{Deserialize, Serialize};

use crate::{ConfigDigest, ConfigVersion};

/// The newest accepted version of the configuration and the digest of its lists; ordered by the version first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigHead {
    /// The version; 0 before any change was accepted.
    pub version: ConfigVersion,
    /// The digest of the lists' canonical encoding, which also names the object that holds it.
    pub digest: ConfigDigest,
}
