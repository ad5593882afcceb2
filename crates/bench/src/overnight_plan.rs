use std::time::Duration;

/// The size and length of one night.
#[derive(Clone, Debug)]
pub struct OvernightPlan {
    /// Callers that send at the same time.
    pub callers: u32,
    /// How often each fault happens.
    pub rounds: usize,
    /// Decides the order of the faults and what they hit.
    pub seed: u64,
    /// The services and how many upstreams each has.
    pub services: Vec<(String, usize)>,
    /// How long a fault lasts.
    pub fault_duration: Duration,
    /// How long an upstream takes for a request.
    pub service_time: Duration,
    /// Slots of each upstream.
    pub slots: u32,
    /// The availability zones.
    pub zones: usize,
}

impl OvernightPlan {
    /// The Trust's size: three availability zones, four services of 3 to 6 upstreams with 6 slots.
    #[must_use]
    pub fn trust(seed: u64) -> Self {
        Self {
            callers: 12,
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
            zones: 3,
        }
    }

    /// Nounou Atlas' size: four availability zones, four services of 4 to 5 upstreams with 9 slots.
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
            zones: 4,
            ..Self::trust(seed)
        }
    }

    /// A short night of a few daemons.
    #[must_use]
    pub fn short(seed: u64) -> Self {
        Self {
            callers: 4,
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
