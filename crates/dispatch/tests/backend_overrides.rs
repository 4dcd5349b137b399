//! Disabled backends: the endpoint entries that the controller gets for them, and their return to rotation.

use sedgerun_dispatch::{BackendOverrides, OverrideError};
use sedgerun_policy::{BackendId, Endpoint, Readiness, UpdateScope};
use std::collections::BTreeSet;

fn entry(backend: u64, readiness: Readiness) -> Endpoint {
    Endpoint { backend: BackendId(backend), shard: 1, zone: 0, started_at: 0, readiness }
}

#[test]
fn a_disabled_backend_is_passed_on_as_draining_when_the_list_gives_it_as_ready() {
    let mut overrides = BackendOverrides::default();
    overrides.filter(UpdateScope::Full, vec![entry(1, Readiness::Ready), entry(2, Readiness::Ready)]);
    assert_eq!(overrides.disable(BackendId(1)), Ok(vec![entry(1, Readiness::Draining)]));
    let entries =
        overrides.filter(UpdateScope::Full, vec![entry(1, Readiness::Ready), entry(2, Readiness::Ready)]);
    assert_eq!(entries, vec![entry(1, Readiness::Draining), entry(2, Readiness::Ready)]);
    let entries = overrides.filter(UpdateScope::Delta, vec![entry(1, Readiness::Ready)]);
    assert_eq!(entries, vec![entry(1, Readiness::Draining)]);
    assert_eq!(overrides.out_of_rotation_count(), 1);
    assert_eq!(overrides.listed_count(), 2);
}

#[test]
fn a_backend_disabled_twice_is_enabled_once_and_counts_as_just_started() {
    let mut overrides = BackendOverrides::default();
    overrides.filter(UpdateScope::Full, vec![entry(1, Readiness::Ready)]);
    assert!(overrides.disable(BackendId(1)).is_ok());
    assert!(overrides.disable(BackendId(1)).is_ok());
    let restarted = Endpoint { started_at: 5_000_000, ..entry(1, Readiness::Ready) };
    assert_eq!(overrides.enable(BackendId(1), 5_000_000), Ok(vec![restarted]));
    assert_eq!(overrides.enable(BackendId(1), 6_000_000), Err(OverrideError::NotDisabled));
    assert_eq!(overrides.disable(BackendId(9)), Err(OverrideError::NotListed));
    assert_eq!(overrides.enable(BackendId(9), 0), Err(OverrideError::NotDisabled));
}

#[test]
fn overrides_handed_over_by_another_process_apply_before_the_list_is_known() {
    let mut overrides = BackendOverrides::default();
    assert!(overrides.set_disabled_by_head(BTreeSet::from([BackendId(1)]), 6).is_empty());
    let entries = overrides.filter(UpdateScope::Cached, vec![entry(1, Readiness::Ready)]);
    assert_eq!(entries, vec![entry(1, Readiness::Draining)]);
    let enabled = overrides.set_disabled_by_head(BTreeSet::new(), 7);
    assert_eq!(enabled, vec![Endpoint { started_at: 7, ..entry(1, Readiness::Ready) }]);
    let disabled = overrides.set_disabled_by_head(BTreeSet::from([BackendId(1)]), 8);
    assert_eq!(disabled[0].readiness, Readiness::Draining);
}

#[test]
fn a_backend_stays_out_of_rotation_until_both_head_and_cluster_enable_it() {
    let mut overrides = BackendOverrides::default();
    overrides.filter(UpdateScope::Full, vec![entry(1, Readiness::Ready), entry(2, Readiness::Ready)]);
    let both = BTreeSet::from([BackendId(1), BackendId(2)]);
    let entries = overrides.set_disabled_by_cluster(both.clone(), 1);
    assert_eq!(entries, vec![entry(1, Readiness::Draining), entry(2, Readiness::Draining)]);
    assert!(overrides.set_disabled_by_cluster(both, 1).is_empty(), "a repeated override changes nothing");
    assert!(overrides.disable(BackendId(1)).is_ok());
    assert_eq!(overrides.out_of_rotation_count(), 2);
    let restarted = Endpoint { started_at: 7, ..entry(2, Readiness::Ready) };
    assert_eq!(
        overrides.set_disabled_by_cluster(BTreeSet::new(), 7),
        vec![restarted],
        "this head still disables backend 1"
    );
    assert_eq!(
        overrides.filter(UpdateScope::Delta, vec![entry(1, Readiness::Ready)]),
        vec![entry(1, Readiness::Draining)]
    );
    overrides.set_disabled_by_cluster(BTreeSet::from([BackendId(1)]), 8);
    assert_eq!(overrides.enable(BackendId(1), 9), Ok(vec![]), "the cluster still disables the backend");
    assert!(overrides.is_disabled(BackendId(1)));
}
