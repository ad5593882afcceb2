use medlarspool_types::{Incarnation, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

/// The details of an upstream, which only daemons that route to its service store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamDetail {
    /// Whether the upstream is still warming up.
    pub cold: bool,
    /// Increases with each restart of the upstream beside its daemon.
    pub generation: u64,
    /// The incarnation of the daemon that published this detail.
    pub incarnation: Incarnation,
    /// The daemon beside the upstream.
    pub instance: InstanceId,
    /// The incarnation with which the daemon's process started, which refutations do not change.
    pub process_incarnation: Incarnation,
    /// Increases with each change of this detail within one incarnation.
    pub sequence: u64,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
}

impl UpstreamDetail {
    /// Returns whether this detail is newer than another one of the same instance.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns the hash that the digest of a service's details includes.
    pub(crate) fn hash(&self) -> u64 {
        let parts = [
            xxh3_64(self.instance.as_str().as_bytes()),
            self.incarnation.0,
            self.sequence,
        ];
        xxh3_64(&parts.map(u64::to_le_bytes).concat())
    }
}
