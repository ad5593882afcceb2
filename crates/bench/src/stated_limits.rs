//! The fleet size and the rate of changes that the users expect in two years, and the limits on a daemon's and
//! the store's resources that they stated for it. Most bounds of the benches derive from these.
//!
//! See `docs/CAPACITY.md`.

/// The number of configuration changes that operators are expected to make per day.
pub const CHANGES_PER_DAY: u32 = 12_000;

/// The most bytes of control traffic that a daemon may send and receive per second.
pub const MAX_CONTROL_BYTES_PER_S: f64 = 18_000.0;

/// The most of one core that a daemon may use for control, in percent.
pub const MAX_CORE_PERCENT: f64 = 1.8;

/// The most resident memory that a daemon may use, in megabytes.
pub const MAX_RESIDENT_MB: f64 = 256.0;

/// The most store reads per second of the whole fleet: a tenth of the about 2,000 that the store serves.
pub const MAX_STORE_READS_PER_S: f64 = 200.0;

/// The most store writes per second of the whole fleet: a tenth of the several hundred that the store
/// serves.
pub const MAX_STORE_WRITES_PER_S: f64 = 30.0;

/// The number of daemons in the fleet, one beside each upstream.
pub const DAEMONS_IN_TWO_YEARS: u32 = 5_800;
