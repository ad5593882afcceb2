use std::time::Duration;

use medlarspool_mesh::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Returns the present moment on the clock that counts from the machine's boot, also while the machine is suspended.
///
/// `Instant` doesn't count that time, and the time of day may be set.
pub(crate) fn boot_time() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    // Neither part is negative on this clock.
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    BootTime(Duration::new(seconds, nanos))
}
