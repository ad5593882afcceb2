use std::time::Duration;

/// The size and length of one overnight run.
#[derive(Clone, Debug)]
pub struct OvernightPlan {
    /// The number of concurrent callers.
    pub caller_count: u32,
    /// The number of rounds; each injects every fault once.
    pub rounds: usize,
    /// The seed of the order of the faults, of the daemons that they hit and of the callers' requests.
    pub seed: u64,
    /// The services, each with its number of upstreams.
    pub services: Vec<(String, usize)>,
    /// How long a fault lasts.
    pub fault_duration: Duration,
    /// How long an upstream takes to run a request.
    pub service_time: Duration,
    /// The number of slots of each upstream.
    pub slots: u32,
    /// The number of availability zones.
    pub zone_count: usize,
}

impl OvernightPlan {
    /// The Trust's size: three availability zones and four services of 3 to 6 upstreams with 6 slots.
    #[must_use]
    pub fn trust(seed: u64) -> Self {
        Self {
            caller_count: 12,
            rounds: 2,
            seed,
            services: services(&[
                ("alerts", 3),
                ("camera", 4),
                ("sightings", 5),
                ("sky-map", 6),
            ]),
            fault_duration: Duration::from_secs(4),
            service_time: Duration::from_millis(5),
            slots: 6,
            zone_count: 3,
        }
    }

    /// Nounou Atlas' size: four availability zones and four services of 4 to 5 upstreams with 9 slots.
    #[must_use]
    pub fn atlas(seed: u64) -> Self {
        Self {
            services: services(&[
                ("bookings", 4),
                ("payments", 4),
                ("search", 5),
                ("shifts", 5),
            ]),
            slots: 9,
            zone_count: 4,
            ..Self::trust(seed)
        }
    }

    /// A short run of a few daemons, for tests.
    #[must_use]
    pub fn short(seed: u64) -> Self {
        Self {
            caller_count: 4,
            rounds: 1,
            services: services(&[("sightings", 3), ("sky-map", 3)]),
            fault_duration: Duration::from_millis(1500),
            ..Self::trust(seed)
        }
    }
}

fn services(sizes: &[(&str, usize)]) -> Vec<(String, usize)> {
    sizes
        .iter()
        .map(|(name, upstreams)| ((*name).to_owned(), *upstreams))
        .collect()
}
