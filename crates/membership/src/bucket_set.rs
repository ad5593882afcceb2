use medlarspool_types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// A set of the buckets into which instances are hashed, so that anti-entropy repair requests only
/// the buckets that differ.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BucketSet([u64; 4]);

impl BucketSet {
    /// All buckets, which a joining daemon requests.
    pub const ALL: Self = Self([u64::MAX; 4]);

    /// The number of buckets. At 5,800 members a bucket has about 23 records, which fit one
    /// datagram.
    pub const COUNT: usize = 256;

    /// Returns the bucket of an instance.
    #[must_use]
    pub fn bucket_of(instance: &InstanceId) -> u8 {
        xxh3_64(instance.as_str().as_bytes()).to_le_bytes()[0]
    }

    /// Returns whether a bucket is in the set.
    #[must_use]
    pub fn contains(&self, bucket: u8) -> bool {
        self.0[usize::from(bucket / 64)] & (1 << (bucket % 64)) != 0
    }

    /// Creates a set from a bitmap, in which bit `n % 64` of word `n / 64` stands for bucket `n`.
    #[must_use]
    pub fn from_words(words: [u64; 4]) -> Self {
        Self(words)
    }

    /// Adds a bucket.
    pub fn insert(&mut self, bucket: u8) {
        self.0[usize::from(bucket / 64)] |= 1 << (bucket % 64);
    }

    /// Returns whether the set contains no bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0 == [0; 4]
    }

    /// Returns the buckets in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u8> + '_ {
        (0..=u8::MAX).filter(|bucket| self.contains(*bucket))
    }

    /// Returns the buckets of this set that are not in another one.
    #[must_use]
    pub fn without(&self, other: &Self) -> Self {
        let mut words = self.0;
        for (word, removed) in words.iter_mut().zip(other.0) {
            *word &= !removed;
        }
        Self(words)
    }

    /// Returns the set as a bitmap, in the form that [`BucketSet::from_words`] takes.
    #[must_use]
    pub fn words(&self) -> [u64; 4] {
        self.0
    }
}
