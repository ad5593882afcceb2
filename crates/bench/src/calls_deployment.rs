use std::time::Duration;

/// One upstream of a modelled deployment.
#[derive(Clone, Copy, Debug)]
pub struct ModelUpstream {
    /// The mean time of a run when the upstream is not overcommitted.
    pub run_time: Duration,
    /// The zone that it stands in.
    pub zone: usize,
}

/// The size and speeds of a modelled deployment.
#[derive(Clone, Debug)]
pub struct CallsDeployment {
    /// The daemons that send calls; the first stand beside the upstreams, in order.
    pub entries: usize,
    /// The time between zones, one way.
    pub inter_zone_latency: Duration,
    /// What the figures are called by.
    pub name: &'static str,
    /// The upstreams of each service.
    pub services: Vec<Vec<ModelUpstream>>,
    /// The slots of each upstream.
    pub slots: u32,
    /// The number of availability zones.
    pub zones: usize,
}

/// Run times in milliseconds, in the order in which upstreams take them.
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

    /// One service of the size in two years, and the 232 daemons of 5,800 that call it if each calls
    /// ten of the 250 services: 23 upstreams with 9 slots, over 14 zones.
    #[must_use]
    pub fn large() -> Self {
        let inter_zone_latency = Duration::from_micros(750);
        Self {
            entries: 232,
            ..Self::new("large", &[23], 9, 14, inter_zone_latency)
        }
    }

    /// Returns the runs that a service's upstreams end in a second.
    #[must_use]
    pub fn runs_per_second(&self, service: usize) -> f64 {
        let speeds = self.services[service]
            .iter()
            .map(|upstream| f64::from(self.slots) / upstream.run_time.as_secs_f64());
        speeds.sum()
    }

    fn new(
        name: &'static str,
        sizes: &[usize],
        slots: u32,
        zones: usize,
        inter_zone_latency: Duration,
    ) -> Self {
        let mut next = 0;
        let mut upstream = || {
            let run_time_ms = RUN_TIMES_MS[next % RUN_TIMES_MS.len()];
            let zone = next % zones;
            next += 1;
            ModelUpstream {
                run_time: Duration::from_millis(run_time_ms),
                zone,
            }
        };
        let mut service = |size: &usize| (0..*size).map(|_| upstream()).collect();
        let services = sizes.iter().map(&mut service).collect();
        Self {
            entries: sizes.iter().sum(),
            inter_zone_latency,
            name,
            services,
            slots,
            zones,
        }
    }
}
