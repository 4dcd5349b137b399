//! Transfers of the state from head to head: chunks, tombstones, restarts.

use proptest::prelude::*;
use sedgerun_replication::view::{
    ExportFields, MAX_TOMBSTONES, Object, ObjectKey, Transfer, VersionedObject, View,
};
use std::collections::BTreeMap;

fn tenant(version: u64, name: u8, there: bool) -> VersionedObject {
    let exports =
        BTreeMap::from([(format!("e{name}"), ExportFields::from([("shard".into(), version.to_string())]))]);
    let object = there.then_some(Object::Tenant(exports));
    VersionedObject { version, key: ObjectKey::Tenant(format!("t{name}")), object }
}

proptest! {
    /// Two upstreams, one of them behind, change while a head gathers in small chunks: what the head shows is
    /// always what an upstream held at that version.
    #[test]
    fn what_is_transferred_was_true_at_its_version(
        steps in prop::collection::vec((0u8..6, any::<bool>(), 0u8..4, any::<bool>()), 1..80)
    ) {
        let (mut first, mut history) = (View::default(), vec![View::default()]);
        let mut second = View::default();
        let (mut held, mut transfer) = (View::default(), Transfer::default());
        for (name, there, polls, other) in steps {
            let version = first.version + 1;
            if there || first.tenants.contains_key(&format!("t{name}")) {
                first.put(tenant(version, name, there));
                history.push(first.clone());
            }
            if other {
                second = first.clone();
            }
            for poll in 0..polls {
                let upstream = if poll % 2 == 0 { &first } else { &second };
                let (since, first_version) = transfer.next_request(&held);
                let before = held.version;
                let _ = transfer.accept(&mut held, upstream.chunk(since, first_version, 40));
                prop_assert!(held.version >= before);
                prop_assert!(held.same_contents(&history[held.version as usize]), "{:?}", held);
            }
        }
    }
}

#[test]
fn a_head_behind_the_forgotten_tombstones_starts_over() {
    let (mut upstream, mut held, mut transfer) = (View::default(), View::default(), Transfer::default());
    upstream.put(tenant(1, 1, true));
    upstream.put(tenant(2, 2, true));
    let (since, first_version) = transfer.next_request(&held);
    assert_eq!(transfer.accept(&mut held, upstream.chunk(since, first_version, 1 << 20)), Ok(true));
    upstream.put(tenant(3, 1, false));
    for round in 0..=MAX_TOMBSTONES as u64 {
        let key = ObjectKey::Backend(format!("b{round}"));
        upstream.put(VersionedObject { version: 4 + 2 * round, key: key.clone(), object: Some(Object::Ban) });
        upstream.put(VersionedObject { version: 5 + 2 * round, key, object: None });
    }
    assert_eq!(upstream.tombstones(), MAX_TOMBSTONES);
    assert!(upstream.floor() >= 3, "the tenant's gap is forgotten");
    let mut pieces = 0;
    while held.version < upstream.version {
        let (since, first_version) = transfer.next_request(&held);
        transfer.accept(&mut held, upstream.chunk(since, first_version, 4096)).expect("a piece");
        pieces += 1;
    }
    assert!(pieces > 10 && held.same_contents(&upstream), "a removed tenant is still there");
}

#[test]
fn a_chunk_lost_in_the_middle_is_asked_for_again() {
    let (mut upstream, mut held, mut transfer) = (View::default(), View::default(), Transfer::default());
    (1..=50).for_each(|version| upstream.put(tenant(version, version as u8, true)));
    let mut asked = Vec::new();
    while held.version < 50 {
        let (since, first_version) = transfer.next_request(&held);
        // Each answer is lost once.
        asked.push(since);
        transfer.accept(&mut held, upstream.chunk(since, first_version, 200)).expect("a piece");
        assert!(held.version == 0 || held.same_contents(&upstream), "half of it was shown");
    }
    assert!(asked.len() > 5 && asked.is_sorted(), "{asked:?}");
}
