use medlarspool_types::{Incarnation, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

/// What only daemons that route to a service hold of each of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamDetail {
    /// Whether the upstream still warms up.
    pub cold: bool,
    /// Counts the lives of the upstream beside its daemon.
    pub generation: u64,
    /// The life of the daemon that says so.
    pub incarnation: Incarnation,
    /// The daemon beside the upstream.
    pub instance: InstanceId,
    /// The incarnation with which the daemon's process began, which refutations leave as it is.
    pub process_incarnation: Incarnation,
    /// Counts the changes of this detail within one incarnation.
    pub sequence: u64,
    /// The requests that the upstream runs at once.
    pub slots: u32,
}

impl UpstreamDetail {
    /// Returns whether this detail overrules another one of the same instance.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns the hash that goes into the digest of a service's detail.
    pub(crate) fn hash(&self) -> u64 {
        let parts = [
            xxh3_64(self.instance.as_str().as_bytes()),
            self.incarnation.0,
            self.sequence,
        ];
        xxh3_64(&parts.map(u64::to_le_bytes).concat())
    }
}
