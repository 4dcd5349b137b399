//! Transfers of the view between heads: chunks, tombstones and restarts.

use proptest::prelude::*;
use sedgerun_replication::view::{
    ExportFields, MAX_TOMBSTONES, Object, ObjectKey, Transfer, VersionedObject, View,
};
use std::collections::BTreeMap;

/// A tenant, or its tombstone if `exists` is false.
fn tenant(version: u64, name: u8, exists: bool) -> VersionedObject {
    let exports =
        BTreeMap::from([(format!("e{name}"), ExportFields::from([("shard".into(), version.to_string())]))]);
    let object = exists.then_some(Object::Tenant(exports));
    VersionedObject { version, key: ObjectKey::Tenant(format!("t{name}")), object }
}

proptest! {
    /// A head receives small chunks from two upstreams, one of them behind, while both change. Its view must
    /// always equal the view of an upstream at the same version.
    #[test]
    fn a_transferred_view_equals_the_upstream_at_its_version(
        steps in prop::collection::vec((0u8..6, any::<bool>(), 0u8..4, any::<bool>()), 1..80)
    ) {
        let (mut first, mut history) = (View::default(), vec![View::default()]);
        let mut second = View::default();
        let (mut received, mut transfer) = (View::default(), Transfer::default());
        for (name, exists, polls, update_second) in steps {
            let version = first.version + 1;
            if exists || first.tenants.contains_key(&format!("t{name}")) {
                first.put(tenant(version, name, exists));
                history.push(first.clone());
            }
            if update_second {
                second = first.clone();
            }
            for poll in 0..polls {
                let upstream = if poll % 2 == 0 { &first } else { &second };
                let (since, first_version) = transfer.next_request(&received);
                let before = received.version;
                let _ = transfer.accept(&mut received, upstream.chunk(since, first_version, 40));
                prop_assert!(received.version >= before);
                prop_assert!(received.same_contents(&history[received.version as usize]), "{:?}", received);
            }
        }
    }
}

#[test]
fn a_head_behind_the_dropped_tombstones_receives_everything() {
    let (mut upstream, mut received, mut transfer) = (View::default(), View::default(), Transfer::default());
    upstream.put(tenant(1, 1, true));
    upstream.put(tenant(2, 2, true));
    let (since, first_version) = transfer.next_request(&received);
    assert_eq!(transfer.accept(&mut received, upstream.chunk(since, first_version, 1 << 20)), Ok(true));
    upstream.put(tenant(3, 1, false));
    for round in 0..=MAX_TOMBSTONES as u64 {
        let key = ObjectKey::Backend(format!("b{round}"));
        upstream.put(VersionedObject { version: 4 + 2 * round, key: key.clone(), object: Some(Object::Ban) });
        upstream.put(VersionedObject { version: 5 + 2 * round, key, object: None });
    }
    assert_eq!(upstream.tombstones(), MAX_TOMBSTONES);
    assert!(upstream.floor() >= 3, "the tenant's tombstone was not dropped");
    let mut chunks = 0;
    while received.version < upstream.version {
        let (since, first_version) = transfer.next_request(&received);
        transfer
            .accept(&mut received, upstream.chunk(since, first_version, 4096))
            .expect("an accepted chunk");
        chunks += 1;
    }
    assert!(chunks > 10 && received.same_contents(&upstream), "a removed tenant is still in the view");
}

#[test]
fn an_incomplete_transfer_is_not_visible_and_continues_after_its_last_chunk() {
    let (mut upstream, mut received, mut transfer) = (View::default(), View::default(), Transfer::default());
    (1..=50).for_each(|version| upstream.put(tenant(version, version as u8, true)));
    let mut requested_since = Vec::new();
    while received.version < 50 {
        let (since, first_version) = transfer.next_request(&received);
        requested_since.push(since);
        transfer.accept(&mut received, upstream.chunk(since, first_version, 200)).expect("an accepted chunk");
        assert!(
            received.version == 0 || received.same_contents(&upstream),
            "an incomplete transfer is visible"
        );
    }
    assert!(requested_since.len() > 5 && requested_since.is_sorted(), "{requested_since:?}");
}
