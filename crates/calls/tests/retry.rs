//! Retries happen only where they do no harm, and within the deadline and the budget.

use std::time::{Duration, Instant};

use medlarspool_calls::{
    CallSettings, FailedAttempt, GiveUpReason, Idempotency, RequestContext, RetryBudget,
    RetryDecision, RetryPolicy,
};
use medlarspool_types::{CallId, ConfigVersion, Verdict};
use proptest::prelude::*;
use rstest::rstest;

use Idempotency::{Idempotent, NonIdempotent};
use Verdict::{MayHaveRun, NotRun, Ran};

fn failed(now: Instant, verdict: Verdict, idempotency: Idempotency) -> FailedAttempt {
    FailedAttempt {
        deadline: now + Duration::from_secs(1),
        expected_latency: Duration::from_millis(10),
        idempotency,
        other_upstream_allowed: true,
        retry_after: None,
        total_attempts: 1,
        verdict,
    }
}

fn decide(now: Instant, failed: &FailedAttempt) -> Option<GiveUpReason> {
    let settings = CallSettings::default();
    let mut budget = RetryBudget::new(&settings);
    let mut random = fastrand::Rng::with_seed(1);
    match RetryPolicy::new(&settings).decide(now, failed, &mut budget, &mut random) {
        RetryDecision::GiveUp { reason, .. } => Some(reason),
        RetryDecision::Retry { .. } => None,
    }
}

#[rstest]
#[case::not_run(NotRun, NonIdempotent, None)]
#[case::not_run_idempotent(NotRun, Idempotent, None)]
#[case::may_have_run(MayHaveRun, NonIdempotent, Some(GiveUpReason::MayHaveRun))]
#[case::may_have_run_idempotent(MayHaveRun, Idempotent, None)]
#[case::ran(Ran, Idempotent, Some(GiveUpReason::Ran))]
fn the_verdict_decides(
    #[case] verdict: Verdict,
    #[case] idempotency: Idempotency,
    #[case] expected: Option<GiveUpReason>,
) {
    let now = Instant::now();
    assert_eq!(decide(now, &failed(now, verdict, idempotency)), expected);
}

#[rstest]
#[case("GET", Idempotent)]
#[case("PUT", Idempotent)]
#[case("DELETE", Idempotent)]
#[case("POST", NonIdempotent)]
#[case("PATCH", NonIdempotent)]
#[case("get", NonIdempotent)]
fn idempotency_follows_rfc_9110(#[case] method: &str, #[case] expected: Idempotency) {
    assert_eq!(Idempotency::of_method(method), expected);
}

#[test]
fn a_retry_must_fit_the_deadline_the_attempts_and_the_refusal() {
    let now = Instant::now();
    let mut late = failed(now, NotRun, Idempotent);
    late.deadline = now + Duration::from_millis(10);
    assert_eq!(decide(now, &late), Some(GiveUpReason::DeadlineTooClose));
    let mut spent = failed(now, NotRun, Idempotent);
    spent.total_attempts = 3;
    assert_eq!(decide(now, &spent), Some(GiveUpReason::TooManyAttempts));
    let mut refused = failed(now, NotRun, Idempotent);
    refused.other_upstream_allowed = false;
    assert_eq!(decide(now, &refused), Some(GiveUpReason::Final));
}

#[test]
fn a_context_survives_a_round_trip() {
    let context = RequestContext {
        depth: 0,
        parent: None,
        remaining: Duration::from_millis(1_500),
        retry_per_mille: 2,
        version: ConfigVersion(9),
    };
    assert_eq!(context.to_string().parse(), Ok(context));
    let next = context.next_hop(CallId(5), Duration::from_secs(2));
    assert_eq!(next.remaining, Duration::ZERO);
    assert_eq!(next.depth, 1);
    assert_eq!(next.to_string().parse(), Ok(next));
    assert!("1;2;3".parse::<RequestContext>().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whichever calls fail in a chain of entries, all entries together make no more retries than
    /// [`CallSettings::retry_per_mille`] allows for the calls, plus the burst of each entry.
    #[test]
    fn the_budget_bounds_the_retries_of_all_hops(
        calls in proptest::collection::vec(proptest::array::uniform3(0_u8..4), 1..2_000)
    ) {
        let settings = CallSettings::default();
        let mut hops = [(); 3].map(|()| RetryBudget::new(&settings));
        let mut retry_count = 0;
        for wanted in &calls {
            let mut share = settings.retry_per_mille;
            for (budget, wanted) in hops.iter_mut().zip(wanted) {
                share = budget.deposit(share);
                retry_count += (0..*wanted).filter(|_| budget.try_withdraw()).count();
            }
        }
        let deposited_retries = calls.len() * settings.retry_per_mille as usize / 1_000;
        prop_assert!(retry_count <= deposited_retries + hops.len() * settings.retry_burst as usize);
    }

    /// The budgets of the first hops stay full, so the fraction of a retry that each call carries
    /// reaches the last hop, which may retry at that rate.
    #[test]
    fn the_last_hop_gets_the_share(call_count in 200_usize..2_000) {
        let settings = CallSettings::default();
        let mut hops = [(); 3].map(|()| RetryBudget::new(&settings));
        let mut retry_count = 0;
        for _ in 0..call_count {
            let share = hops.iter_mut().fold(settings.retry_per_mille, |share, b| b.deposit(share));
            prop_assert!(share <= settings.retry_per_mille);
            retry_count += usize::from(hops[2].try_withdraw());
        }
        let deposited_retries = call_count * settings.retry_per_mille as usize / 1_000;
        prop_assert!(retry_count >= deposited_retries);
    }

    /// A retry starts early enough to be answered in time, and its back-off stays within the limit.
    #[test]
    fn a_retry_fits_the_deadline(deadline_ms in 0_u64..2_000, total_attempts in 1_u32..3, seed: u64) {
        let settings = CallSettings::default();
        let now = Instant::now();
        let mut attempt = failed(now, NotRun, Idempotent);
        attempt.deadline = now + Duration::from_millis(deadline_ms);
        attempt.total_attempts = total_attempts;
        let mut budget = RetryBudget::new(&settings);
        let mut random = fastrand::Rng::with_seed(seed);
        let decision = RetryPolicy::new(&settings).decide(now, &attempt, &mut budget, &mut random);
        if let RetryDecision::Retry { delay, .. } = decision {
            prop_assert!(now + delay + attempt.expected_latency < attempt.deadline);
            prop_assert!(delay <= settings.max_retry_backoff);
        }
    }
}
