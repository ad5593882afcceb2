/// How often the platform's store came back from an older copy of itself, in which its latest transactions are
/// missing.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(pub u64);
