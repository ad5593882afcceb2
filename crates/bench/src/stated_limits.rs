//! The size and the limits that the users stated for two years out; every bench is held to these.
//!
//! See `docs/CAPACITY.md`.

/// The changes that operators make in a day.
pub const CHANGES_PER_DAY: u32 = 12_000;

/// The most bytes of control that a daemon may send and receive in a second.
pub const MAX_CONTROL_BYTES_PER_S: f64 = 18_000.0;

/// The most of one core that a daemon may spend on control.
pub const MAX_CORE_PERCENT: f64 = 1.8;

/// The most memory that a daemon may hold.
pub const MAX_RESIDENT_MB: f64 = 256.0;

/// A tenth of the about 2,000 reads a second that the store serves, for the whole fleet.
pub const MAX_STORE_READS_PER_S: f64 = 200.0;

/// A tenth of the several hundred writes a second that the store takes, for the whole fleet.
pub const MAX_STORE_WRITES_PER_S: f64 = 30.0;

/// The daemons of the fleet, one beside each upstream.
pub const DAEMONS_IN_TWO_YEARS: u32 = 5_800;
