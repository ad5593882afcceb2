/// Identifies one attempt of one request between two daemons, so that its fate can be queried.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u128);

impl CallId {
    /// Generates an id from a number that was drawn for one life of an entry, and a random one.
    ///
    /// A gate takes two attempts with the same id for one that arrived twice, and answers the second with the answer
    /// to the first. So the ids of two entries must differ whatever their generators draw: `entry_life` must come from
    /// the operating system's source of randomness, not from the time.
    #[must_use]
    pub fn generate(entry_life: u64, random: &mut fastrand::Rng) -> Self {
        Self(u128::from(entry_life) << 64 | u128::from(random.u64(..)))
    }
}

impl std::fmt::Display for CallId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
