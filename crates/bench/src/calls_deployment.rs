use std::time::Duration;

/// One upstream of a modelled deployment.
#[derive(Clone, Copy, Debug)]
pub struct ModelUpstream {
    /// The mean run time while no more requests run than the upstream has slots.
    pub run_time: Duration,
    /// The index of its availability zone, from 0.
    pub zone: usize,
}

/// The size, run times and latency of a modelled deployment.
#[derive(Clone, Debug)]
pub struct CallsDeployment {
    /// The number of daemons that send calls; entry `n` is in the zone of upstream `n`, if there is one.
    pub entry_count: usize,
    /// The one-way latency of a message between two zones.
    pub inter_zone_latency: Duration,
    /// The deployment's name in the figures.
    pub name: &'static str,
    /// The upstreams of each service.
    pub services: Vec<Vec<ModelUpstream>>,
    /// The number of requests that each upstream runs at once without slowing down.
    pub slots: u32,
    /// The number of availability zones.
    pub zone_count: usize,
}

/// The mean run times in milliseconds, assigned to the upstreams in turn.
const RUN_TIMES_MS: [u64; 7] = [50, 100, 30, 60, 150, 40, 75];

impl CallsDeployment {
    /// Four services of 3 to 6 upstreams with 6 slots, over three zones.
    #[must_use]
    pub fn trust() -> Self {
        Self::new("trust", &[3, 4, 5, 6], 6, 3, Duration::from_micros(750))
    }

    /// Four services of 4 to 5 upstreams with 9 slots, over four zones.
    #[must_use]
    pub fn atlas() -> Self {
        Self::new("atlas", &[4, 5, 4, 5], 9, 4, Duration::from_micros(500))
    }

    /// One service at the size expected in two years: 23 upstreams with 9 slots, over 14 zones, and 232
    /// entries. So many of the 5,800 daemons call it if each calls ten of the 250 services.
    #[must_use]
    pub fn large() -> Self {
        let inter_zone_latency = Duration::from_micros(750);
        Self {
            entry_count: 232,
            ..Self::new("large", &[23], 9, 14, inter_zone_latency)
        }
    }

    /// Returns how many requests per second a service's upstreams can run.
    #[must_use]
    pub fn runs_per_second(&self, service: usize) -> f64 {
        let speeds = self.services[service]
            .iter()
            .map(|upstream| f64::from(self.slots) / upstream.run_time.as_secs_f64());
        speeds.sum()
    }

    /// Makes a deployment with as many entries as upstreams, given each service's number of upstreams. Zones and
    /// run times are assigned to the upstreams in turn.
    fn new(
        name: &'static str,
        upstream_counts: &[usize],
        slots: u32,
        zone_count: usize,
        inter_zone_latency: Duration,
    ) -> Self {
        let mut next = 0;
        let mut upstream = || {
            let run_time_ms = RUN_TIMES_MS[next % RUN_TIMES_MS.len()];
            let zone = next % zone_count;
            next += 1;
            ModelUpstream {
                run_time: Duration::from_millis(run_time_ms),
                zone,
            }
        };
        let mut service = |size: &usize| (0..*size).map(|_| upstream()).collect();
        let services = upstream_counts.iter().map(&mut service).collect();
        Self {
            entry_count: upstream_counts.iter().sum(),
            inter_zone_latency,
            name,
            services,
            slots,
            zone_count,
        }
    }
}
