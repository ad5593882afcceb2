/// Identifies one attempt of one request between two daemons, so that its fate can be queried.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u128);

impl CallId {
    /// Generates a random id; 128 bits make a collision negligible within the time that fates are
    /// retained.
    #[must_use]
    pub fn generate(random: &mut fastrand::Rng) -> Self {
        Self(random.u128(..))
    }
}

impl std::fmt::Display for CallId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
