use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{LedgerRun, OvernightFault, OvernightRequest, PromiseCount, VersionCount};

/// The time within which an accepted change must be in force on all daemons, as the users stated it for the
/// fleet's size in two years.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

/// How long after its announcement a leaving upstream may still begin to run requests, in milliseconds.
const LEAVING_GRACE_MS: u64 = 3_000;

/// The result of one overnight run.
pub struct OvernightReport {
    /// The number of accepted changes.
    pub change_count: u64,
    /// How long the last change of each step took to be in force on all daemons, after its faults had ended.
    pub convergence_times: Vec<Duration>,
    /// How often each fault was injected.
    pub fault_counts: BTreeMap<OvernightFault, u64>,
    /// The incarnations of upstreams that left, with when each announced it, in milliseconds since the Unix
    /// epoch.
    pub leaving_since_ms: BTreeMap<String, u64>,
    /// The outcome of each request.
    pub requests: Vec<OvernightRequest>,
    /// The runs of each request, by its id.
    pub runs: HashMap<String, Vec<LedgerRun>>,
    /// The number of planned stops.
    pub stop_count: u64,
    /// The number of planned stops that did not end with exit code 0 in time.
    pub unclean_stop_count: u64,
    /// How often a daemon's configuration version was checked and how often it had gone back.
    pub versions: VersionCount,
}

impl OvernightReport {
    /// Returns the share of requests that were answered, resends included, in percent.
    #[must_use]
    pub fn answered_percent(&self) -> f64 {
        let answered = count(self.requests.iter().filter(|request| request.ran));
        as_f64(answered) * 100.0 / as_f64(count(self.requests.iter())).max(1.0)
    }

    /// Returns how often each promise that is judged by counts alone was tested and broken.
    #[must_use]
    pub fn promises(&self) -> Vec<PromiseCount> {
        vec![
            self.no_older_versions(),
            self.whole_answers(),
            self.correct_refusals(),
            self.at_most_once(),
            self.leaving_upstreams(),
            PromiseCount {
                broken: self.unclean_stop_count,
                promise: "a planned stop ends cleanly",
                tested: self.stop_count,
            },
        ]
    }

    /// Returns how often a change was not in force on all daemons in time. This is judged by the wall clock,
    /// and is therefore not one of [`Self::promises`].
    #[must_use]
    pub fn convergence(&self) -> PromiseCount {
        let late = self
            .convergence_times
            .iter()
            .filter(|within| **within > CONVERGENCE_LIMIT);
        PromiseCount {
            broken: count(late),
            promise: "in force everywhere within 5 s",
            tested: count(self.convergence_times.iter()),
        }
    }

    fn no_older_versions(&self) -> PromiseCount {
        PromiseCount {
            broken: self.versions.reversions,
            promise: "no daemon moves back to an older version",
            tested: self.versions.checks,
        }
    }

    fn whole_answers(&self) -> PromiseCount {
        let answered = self.requests.iter().filter(|request| request.ran);
        let garbled = answered.clone().filter(|request| request.garbled.is_some());
        for request in garbled.clone() {
            eprintln!("not its own whole answer: {request:?}");
        }
        PromiseCount {
            broken: count(garbled),
            promise: "the whole answer to its own request",
            tested: count(answered),
        }
    }

    fn correct_refusals(&self) -> PromiseCount {
        let refused = self.requests.iter().filter(|request| request.never_ran);
        PromiseCount {
            broken: count(refused.clone().filter(|request| self.runs_of(request) > 0)),
            promise: "refused as not run, and did not run",
            tested: count(refused),
        }
    }

    fn at_most_once(&self) -> PromiseCount {
        let non_idempotent = self
            .requests
            .iter()
            .filter(|request| !request.kind.may_run_twice());
        let repeated = non_idempotent
            .clone()
            .filter(|request| self.runs_of(request) > 1);
        for request in repeated.clone() {
            log::error!(id = request.id.as_str(), kind:? = request.kind; "ran more than once");
        }
        PromiseCount {
            broken: count(repeated),
            promise: "a non-idempotent request runs at most once",
            tested: count(non_idempotent),
        }
    }

    fn leaving_upstreams(&self) -> PromiseCount {
        let late = self.runs.values().flatten().filter(|run| {
            self.leaving_since_ms
                .get(&run.upstream)
                .is_some_and(|leaving_since_ms| {
                    run.began_at_ms > leaving_since_ms + LEAVING_GRACE_MS
                })
        });
        PromiseCount {
            broken: count(late),
            promise: "a leaving upstream gets no work after 3 s",
            tested: count(self.leaving_since_ms.iter()),
        }
    }

    fn runs_of(&self, request: &OvernightRequest) -> usize {
        self.runs.get(&request.id).map_or(0, Vec::len)
    }
}

fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn count<T>(items: impl Iterator<Item = T>) -> u64 {
    items.fold(0, |count, _| count + 1)
}
