use std::{thread, time::Duration};

use crate::{DaemonSpec, ProcessFleet};

/// The number of availability zones that the daemons are spread over.
const AVAILABILITY_ZONE_COUNT: usize = 14;

/// The number of regions that the availability zones are spread over.
const REGION_COUNT: usize = 6;

/// The pause between the starts of two daemons, so that the starts don't saturate the processor.
const START_PAUSE: Duration = Duration::from_millis(10);

/// Adds this many daemons without upstreams, spread over the availability zones, and waits until all are ready.
///
/// # Errors
///
/// Returns which daemon can't be started or isn't ready in time.
pub fn add_daemons_without_upstream(
    fleet: &mut ProcessFleet,
    daemon_count: usize,
) -> Result<(), String> {
    for index in 0..daemon_count {
        let zone = index % AVAILABILITY_ZONE_COUNT;
        fleet.add_from_spec(&DaemonSpec {
            availability_zone: format!("zone-{zone}"),
            extra_settings: "worker_threads: 2\n".into(),
            instance: format!("instance-{index}"),
            platform_address: fleet.platform_address(),
            region: format!("region-{}", zone % REGION_COUNT),
            upstream: None,
        })?;
        thread::sleep(START_PAUSE);
    }
    for daemon in &fleet.daemons {
        daemon.wait_until_ready()?;
    }
    Ok(())
}
