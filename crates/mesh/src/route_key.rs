use xxhash_rust::xxh3::xxh3_64;

/// Identifies a route on every daemon, across versions of the configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// Returns the key of a route, which is a hash of its host and prefix.
    #[must_use]
    pub fn of(host: &str, prefix: &str) -> Self {
        Self(xxh3_64(format!("{host} {prefix}").as_bytes()))
    }
}
