//! The version of the snapshot in use never decreases.

use std::sync::Arc;

use medlarspool_spread::{Refusal, SnapshotHolder};
use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion};
use rstest::rstest;

fn head(version: u64, digest: u128) -> ConfigHead {
    ConfigHead {
        version: ConfigVersion(version),
        digest: ConfigDigest(digest),
    }
}

#[rstest]
#[case::newer(head(8, 2), Ok(()))]
#[case::much_newer(head(90, 2), Ok(()))]
#[case::older(head(6, 2), Err(Refusal::Stale))]
#[case::same_again(head(7, 1), Ok(()))]
#[case::same_with_other_digest(head(7, 2), Err(Refusal::Conflict))]
fn a_swap_never_decreases_the_version(
    #[case] offered: ConfigHead,
    #[case] expected: Result<(), Refusal>,
) {
    let holder = SnapshotHolder::default();
    holder.swap_if_newer(head(7, 1), Arc::new("held")).unwrap();
    assert_eq!(holder.swap_if_newer(offered, Arc::new("offered")), expected);
    let in_use = if expected.is_ok() { "offered" } else { "held" };
    assert_eq!(holder.load_full().as_deref(), Some(&in_use));
    assert_eq!(
        holder.head(),
        if expected.is_ok() {
            offered
        } else {
            head(7, 1)
        }
    );
}

#[test]
fn concurrent_swaps_end_with_the_newest() {
    let holder = Arc::new(SnapshotHolder::default());
    std::thread::scope(|scope| {
        for version in (1..=64).rev() {
            let holder = Arc::clone(&holder);
            scope.spawn(move || holder.swap_if_newer(head(version, 0), Arc::new(version)));
        }
    });
    assert_eq!(holder.head(), head(64, 0));
    assert_eq!(holder.load_full().as_deref(), Some(&64));
}
