//! The distribution of a route's requests to its services, for all weights that a configuration may have.

use medlarspool_mesh::{WeightedRoundRobin, WeightedService};
use proptest::prelude::*;
use rstest::rstest;

/// The difference that rounding may make to an expected number of requests.
const ROUNDING: f64 = 1e-9;

fn services(weights: &[f64]) -> Vec<WeightedService> {
    let service = |weight: &f64| WeightedService {
        service: "s".into(),
        weight: *weight,
    };
    weights.iter().map(service).collect()
}

/// Returns the service's shares of the requests.
fn shares(weights: &[f64]) -> Vec<f64> {
    let greatest = weights.iter().copied().fold(0.0, f64::max);
    let sum: f64 = weights.iter().map(|weight| weight / greatest).sum();
    let share = |weight: &f64| weight / greatest / sum;
    weights.iter().map(share).collect()
}

/// Returns weights of any size, among them some of the kinds that configurations have.
fn weight() -> impl Strategy<Value = f64> {
    prop_oneof![
        (0_u32..=100).prop_map(f64::from),
        0.0..1.0,
        (-308_i32..=308, 1.0..9.0).prop_map(|(exponent, digit)| digit * 10_f64.powi(exponent)),
        Just(f64::MAX),
        Just(f64::from_bits(1)),
    ]
}

proptest! {
    /// Guards against weights that overflow or are rounded to others, and against runs of requests that are less even
    /// than the method allows.
    #[test]
    fn any_run_of_requests_follows_the_weights(
        weights in prop::collection::vec(weight(), 1..6),
        draws in prop::collection::vec(0.0..1.0, 5),
        begin in 0_usize..200,
        length in 1_u32..400,
    ) {
        prop_assume!(weights.iter().any(|weight| *weight > 0.0));
        let mut draws = draws.into_iter();
        let draw = || draws.next().unwrap();
        let mut round_robin = WeightedRoundRobin::starting_at_random(&services(&weights), draw);
        for _ in 0..begin {
            round_robin.choose_next();
        }
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..length {
            counts[round_robin.choose_next()] += 1;
        }
        // With two services, one is never more than a request ahead or behind.
        let bound = weights.iter().filter(|weight| **weight > 0.0).count().max(2) - 1;
        let bound = f64::from(u32::try_from(bound).unwrap());
        for ((count, share), weight) in counts.iter().zip(shares(&weights)).zip(&weights) {
            let difference = (f64::from(*count) - share * f64::from(length)).abs();
            prop_assert!(difference <= bound + ROUNDING, "{weights:?} {counts:?}");
            prop_assert!(*weight > 0.0 || *count == 0, "{weights:?} {counts:?}");
        }
    }
}

/// Guards against shares that drift, since rounding adds up.
#[rstest]
#[case::halves(&[12.5, 87.5])]
#[case::tenths(&[0.1, 0.2, 0.7])]
#[case::thirds(&[1.0, 1.0, 1.0])]
#[case::uneven(&[1e-3, 1e3])]
fn shares_do_not_drift(#[case] weights: &[f64]) {
    const REQUESTS: u32 = 3_000_000;
    let mut round_robin = WeightedRoundRobin::starting_at_random(&services(weights), || 0.5);
    let mut counts = vec![0_u32; weights.len()];
    for _ in 0..REQUESTS {
        counts[round_robin.choose_next()] += 1;
    }
    for (count, share) in counts.iter().zip(shares(weights)) {
        let difference = (f64::from(*count) - share * f64::from(REQUESTS)).abs();
        assert!(difference <= 2.0, "{weights:?} {counts:?}");
    }
}

/// Guards against a service with a small weight that gets nothing: each daemon sends few requests, and begins anew with
/// each version of the configuration.
#[rstest]
#[case::one_in_a_thousand(&[1.0, 999.0])]
#[case::one_in_twenty(&[1.0, 4.0, 15.0])]
#[case::seventh(&[12.5, 87.5])]
fn short_runs_of_many_daemons_follow_uneven_weights(#[case] weights: &[f64]) {
    const DAEMONS: u32 = 100_000;
    const REQUESTS: u32 = 3;
    let mut counts = vec![0_u32; weights.len()];
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..DAEMONS {
        let draw = || random.f64();
        let mut round_robin = WeightedRoundRobin::starting_at_random(&services(weights), draw);
        for _ in 0..REQUESTS {
            counts[round_robin.choose_next()] += 1;
        }
    }
    for (count, share) in counts.iter().zip(shares(weights)) {
        let expected = share * f64::from(DAEMONS * REQUESTS);
        let ratio = f64::from(*count) / expected;
        assert!((0.7..1.3).contains(&ratio), "{weights:?} {counts:?}");
    }
}

/// The proportions of such weights say nothing; no service may be left out for it.
#[test]
fn services_whose_weights_are_all_zero_have_equal_shares() {
    let mut round_robin = WeightedRoundRobin::starting_at_random(&services(&[0.0, 0.0]), || 0.5);
    let chosen: Vec<usize> = (0..4).map(|_| round_robin.choose_next()).collect();
    assert_eq!(chosen, [0, 1, 0, 1]);
}
