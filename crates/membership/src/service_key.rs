use medlarspool_types::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// The hash of a service's name, which identifies the service in the records that every daemon
/// stores.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub u32);

impl From<&ServiceName> for ServiceKey {
    fn from(service: &ServiceName) -> Self {
        Self(fold_hash(xxh3_64(service.as_str().as_bytes())))
    }
}

/// Folds a 64-bit hash to 32 bits.
pub(crate) fn fold_hash(hash: u64) -> u32 {
    let halves = [hash >> 32, hash & u64::from(u32::MAX)];
    let [high, low] = halves.map(|half| u32::try_from(half).unwrap_or_default());
    high ^ low
}
