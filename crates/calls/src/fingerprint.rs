use medlarspool_types::{CustomerId, ServiceName};
use xxhash_rust::xxh3::Xxh3Default;

/// A hash of a request's customer, service, method, path and body, by which a request that is sent
/// again is recognised.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Hashes a request. Each part is preceded by its length, so that bytes can't shift from one part
    /// to the next without changing the hash.
    #[must_use]
    pub fn of(
        customer: &CustomerId,
        service: &ServiceName,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Self {
        let mut hasher = Xxh3Default::new();
        let parts: [&[u8]; 5] = [
            customer.as_str().as_bytes(),
            service.as_str().as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ];
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
