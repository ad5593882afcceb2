use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fastrand::Rng;
use medlarspool_config::{CredentialHash, CustomerEntry, Lists, PlanEntry, ServiceEntry, Snapshot};
use medlarspool_types::{ConfigHead, ConfigVersion};

const PLAN_COUNT: usize = 20;
const SERVICE_COUNT: usize = 50;
const SERVICES_PER_PLAN: usize = 12;

/// Generated lists of any size, with random changes, for benches.
#[derive(Clone, Debug)]
pub struct SampleLists {
    customers: Vec<CustomerEntry>,
    plans: Vec<PlanEntry>,
    random: Rng,
    services: Vec<ServiceEntry>,
    version: ConfigVersion,
}

impl SampleLists {
    /// Makes version 1 of lists with this many customers, drawn by the seed.
    #[must_use]
    pub fn new(customer_count: usize, seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        Self {
            customers: (0..customer_count)
                .map(|index| customer(index, &mut random))
                .collect(),
            plans: (0..PLAN_COUNT).map(plan).collect(),
            random,
            services: (0..SERVICE_COUNT).map(service).collect(),
            version: ConfigVersion(1),
        }
    }

    /// Draws a new plan and credential for this many customers, and makes the result the next version.
    pub fn change_customers(&mut self, count: usize) {
        let mut changed = BTreeSet::new();
        while changed.len() < count.min(self.customers.len()) {
            let index = self.random.usize(..self.customers.len());
            if changed.insert(index) {
                self.customers[index] = customer(index, &mut self.random);
            }
        }
        self.version = self.version.next();
    }

    /// Returns the lists.
    ///
    /// # Panics
    ///
    /// If the generated lists are not valid.
    #[must_use]
    pub fn lists(&self) -> Lists {
        let customers = self.customers.clone();
        Lists::new(customers, self.plans.clone(), self.services.clone())
            .expect("sample lists are valid")
    }

    /// Returns the snapshot of the current version.
    ///
    /// # Panics
    ///
    /// If the generated lists are not valid.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let lists = self.lists();
        let head = ConfigHead {
            version: self.version,
            digest: lists.digest(),
        };
        Snapshot::build(head, Arc::new(lists)).expect("the digest was computed from the lists")
    }
}

fn customer(index: usize, random: &mut Rng) -> CustomerEntry {
    CustomerEntry {
        credential_sha256: CredentialHash(std::array::from_fn(|_| random.u8(..))),
        customer: format!("customer-{index:06}")
            .parse()
            .expect("the id is valid"),
        plan: format!("plan-{:02}", random.usize(..PLAN_COUNT))
            .parse()
            .expect("the id is valid"),
    }
}

fn plan(index: usize) -> PlanEntry {
    PlanEntry {
        plan: format!("plan-{index:02}").parse().expect("the id is valid"),
        uses: (0..SERVICES_PER_PLAN)
            .map(|step| service((index + step * 4) % SERVICE_COUNT).service)
            .collect(),
        weight: 1,
    }
}

fn service(index: usize) -> ServiceEntry {
    ServiceEntry {
        max_request_bytes: 65_536,
        service: format!("service-{index:03}")
            .parse()
            .expect("the id is valid"),
        timeout_ms: Duration::from_secs(2),
    }
}
