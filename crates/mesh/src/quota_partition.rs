use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A part of all accounts' limits, which at most one daemon grants from at a time.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QuotaPartition(u8);

impl QuotaPartition {
    /// How many partitions the fleet has. More would cost more writes to the store; with fewer, one daemon's death would
    /// affect more accounts at once.
    pub const COUNT: u8 = 24;

    /// How many partitions an account uses. When one has no holder, the three others still grant 0.75 of the limit,
    /// while accounts usually need 0.625 of it.
    pub const COUNT_PER_ACCOUNT: u8 = 4;

    /// Returns the partition with this number; none if there is no such partition.
    #[must_use]
    pub fn new(number: u8) -> Option<Self> {
        (number < Self::COUNT).then_some(Self(number))
    }

    /// Returns all partitions.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }

    /// Returns the partitions of an account: for each residue of the number, the first one by rendezvous hashing. They
    /// depend on nothing else, so that all daemons agree on them at all times.
    #[must_use]
    pub fn of_account(account: &str) -> Vec<Self> {
        let first_of = |residue: u8| {
            let of_residue = Self::all().filter(|partition| partition.residue() == residue);
            let weight = |partition: &Self| {
                let seed = u64::from(partition.0);
                (xxh3_64_with_seed(account.as_bytes(), seed), partition.0)
            };
            of_residue.max_by_key(weight)
        };
        (0..Self::COUNT_PER_ACCOUNT).filter_map(first_of).collect()
    }

    /// Returns the number of the partition.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the bit of the partition in the set that reports carry.
    #[must_use]
    pub const fn bit(self) -> u32 {
        1 << self.0
    }

    /// Returns which of an account's partitions this one can be. A daemon that holds partitions of one residue only
    /// takes no more than a quarter of any account's limit with it when it dies.
    #[must_use]
    pub const fn residue(self) -> u8 {
        self.0 % Self::COUNT_PER_ACCOUNT
    }

    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}
