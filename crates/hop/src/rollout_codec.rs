use std::{rc::Rc, time::Duration};

use medlarspool_mesh::{
    RolloutOrder, RolloutState, RolloutStatus, RouteKey, RunCounts, StoreEra, StorePosition,
    TargetEvidence, TargetRecord,
};

use crate::{
    ReportError,
    report_message::{RolloutMessage, RouteRunsMessage, RunsMessage},
};

pub(crate) fn encode_status(status: &RolloutStatus) -> RolloutMessage {
    let order = &status.order;
    RolloutMessage {
        service: order.service.to_string(),
        to: order.to.to_string(),
        duration_ns: saturated(order.duration.as_nanos()),
        era: order.position.era.0,
        version: order.position.version,
        state: match status.state {
            RolloutState::Completed => 1,
            RolloutState::RolledBack => 2,
            RolloutState::Running => 0,
        },
        share_per_mille: status.share_per_mille.into(),
        age_ms: saturated(status.age.as_millis()),
        is_stored: status.is_stored,
    }
}

pub(crate) fn decode_status(message: &RolloutMessage) -> Result<RolloutStatus, ReportError> {
    Ok(RolloutStatus {
        age: Duration::from_millis(message.age_ms),
        is_stored: message.is_stored,
        order: RolloutOrder {
            duration: Duration::from_nanos(message.duration_ns),
            position: StorePosition {
                era: StoreEra(message.era),
                version: message.version,
            },
            service: message.service.as_str().into(),
            to: message.to.as_str().into(),
        },
        share_per_mille: u16::try_from(message.share_per_mille.min(1_000)).unwrap_or_default(),
        state: match message.state {
            0 => RolloutState::Running,
            1 => RolloutState::Completed,
            2 => RolloutState::RolledBack,
            other => return Err(ReportError::RolloutState(other)),
        },
    })
}

/// Encodes the counts of a target by route, those of the routes with the most runs first.
pub(crate) fn encode_runs(evidence: &TargetEvidence) -> RunsMessage {
    let mut routes: Vec<_> = evidence.routes.iter().collect();
    routes.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.runs()));
    let routes = routes
        .into_iter()
        .map(|(route, counts)| {
            let has_runs = |count: &u32| *count > 0;
            let first = counts.run_times.iter().position(has_runs);
            let last = counts.run_times.iter().rposition(has_runs);
            let run_times = match first.zip(last) {
                Some((first, last)) => counts.run_times[first..=last].to_vec(),
                None => Vec::new(),
            };
            RouteRunsMessage {
                route: route.0,
                failures: counts.failures,
                first_bucket: u32::try_from(first.unwrap_or_default()).unwrap_or_default(),
                run_times,
            }
        })
        .collect();
    RunsMessage { routes }
}

/// Decodes the counts that a daemon sent of its target. Buckets that aren't known are ignored.
pub(crate) fn decode_runs(target: &TargetRecord, runs: &RunsMessage) -> TargetEvidence {
    let version: Rc<str> = target.version.clone();
    let mut evidence = TargetEvidence::new(target.id.clone(), target.born_ms, version);
    for message in &runs.routes {
        let mut counts = RunCounts {
            failures: message.failures,
            ..RunCounts::default()
        };
        let first = usize::try_from(message.first_bucket).unwrap_or(usize::MAX);
        let known_buckets = counts.run_times.iter_mut().skip(first);
        for (known, count) in known_buckets.zip(&message.run_times) {
            *known = *count;
        }
        evidence.routes.insert(RouteKey(message.route), counts);
    }
    evidence
}

fn saturated(number: u128) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
