//! Changes to the replicated state: retries, conflicts, compare-and-set, and restored backups.

use sedgerun_replication::heap_size::HeapSize;
use sedgerun_replication::outcomes::MAX_REMEMBERED_OUTCOMES;
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::state::{Change, ChangeOutcome, Command, ReplicatedState};
use sedgerun_replication::view::ExportFields;
use std::collections::BTreeMap;

fn put(key: &str, tenant: &str, export: &str, shard: &str, expect: Option<u64>) -> Change {
    let fields = ExportFields::from([("shard".to_owned(), shard.to_owned())]);
    let (tenant, export) = (tenant.to_owned(), export.to_owned());
    Change {
        key: key.into(),
        expected_version: expect,
        command: Command::PutExport { tenant, export, fields },
    }
}

fn change(key: &str, command: Command) -> Change {
    Change { key: key.into(), expected_version: None, command }
}

fn delete(key: &str, tenant: &str) -> Change {
    change(key, Command::DeleteTenant { tenant: tenant.into() })
}

#[test]
fn a_retried_change_is_applied_once_and_gets_the_first_outcome() {
    let mut state = ReplicatedState::default();
    let first = state.apply(&put("k1", "horvat", "press", "3", Some(0)));
    assert_eq!(first, ChangeOutcome::Done { version: 1, created: true });
    assert_eq!(state.apply(&delete("k2", "horvat")), ChangeOutcome::Done { version: 2, created: false });
    // If the key were not remembered, the retry would create the deleted tenant again.
    assert_eq!(state.apply(&put("k1", "horvat", "press", "3", Some(0))), first);
    assert!(state.view.tenants.is_empty() && state.view.version == 2);
    assert_eq!(state.apply(&put("k1", "horvat", "press", "4", Some(0))), ChangeOutcome::Reused);
}

#[test]
fn the_number_of_remembered_outcomes_is_bounded() {
    let mut state = ReplicatedState::default();
    for i in 0..MAX_REMEMBERED_OUTCOMES + 10 {
        state.apply(&put(&format!("k{i}"), "horvat", "press", "3", None));
    }
    assert_eq!(
        (state.outcomes().len(), state.outcomes().keys().len()),
        (MAX_REMEMBERED_OUTCOMES, MAX_REMEMBERED_OUTCOMES)
    );
    assert!(!state.outcomes().contains("k9") && state.outcomes().contains("k10"));
}

#[test]
fn a_failed_compare_and_set_returns_the_current_version() {
    let mut state = ReplicatedState::default();
    state.apply(&put("k1", "horvat", "press", "3", None));
    assert_eq!(state.apply(&put("k2", "horvat", "proofs", "3", Some(0))), ChangeOutcome::Stale(1));
    assert_eq!(
        state.apply(&put("k3", "horvat", "proofs", "3", Some(1))),
        ChangeOutcome::Done { version: 2, created: true }
    );
    assert_eq!(state.view.tenants["horvat"].version, 2);
}

#[test]
fn rejected_changes_leave_the_view_unchanged() {
    let mut state = ReplicatedState::default();
    state.apply(&put("k1", "horvat", "press", "3", None));
    let before = state.view.clone();
    let duplicate = state.apply(&put("k2", "other", "press", "3", None));
    assert!(matches!(duplicate, ChangeOutcome::Conflict(_)), "{duplicate:?}");
    assert!(matches!(state.apply(&delete("k3", "nobody")), ChangeOutcome::Missing(_)));
    assert!(matches!(state.apply(&put("k4", "", "x", "3", None)), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(&change("k5", Command::SetVoters(4))), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(&change("k6", Command::SetDeadAfter(5))), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(&change("k7", Command::Restore(vec![]))), ChangeOutcome::Conflict(_)));
    let lift_ban = Command::Ban { backend: "s-1".into(), banned: false };
    assert!(matches!(state.apply(&change("k8", lift_ban)), ChangeOutcome::Missing(_)));
    assert_eq!(state.view, before);
}

#[test]
fn a_backup_restored_into_an_empty_state_gives_the_same_contents() {
    let mut state = ReplicatedState::default();
    state.apply(&put("k1", "horvat", "press", "3", None));
    state.apply(&put("k2", "novak", "maps", "4", None));
    state.apply(&delete("k3", "horvat"));
    state.apply(&change("k4", Command::Ban { backend: "s-1".into(), banned: true }));
    state.apply(&change("k5", Command::SetVoters(5)));
    let mut restored = ReplicatedState::default();
    let objects = state.view.objects().collect();
    assert_eq!(
        restored.apply(&change("r", Command::Restore(objects))),
        ChangeOutcome::Done { version: 3, created: true }
    );
    assert_eq!(restored.view.tenants["novak"].exports, state.view.tenants["novak"].exports);
    assert_eq!((restored.view.tenants.len(), &restored.view.rules), (1, &state.view.rules));
    assert!(restored.view.bans.contains_key("s-1"));
}

/// A state that has applied this many changes of some 4 KB each.
fn state_after_large_changes(changes: usize) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for number in 0..changes {
        state.apply(&large_change(number));
    }
    state
}

fn large_change(number: usize) -> Change {
    put(&format!("k{number}"), "horvat", "press", &"3".repeat(4096 + number % 2), None)
}

/// Guards against remembered outcomes whose memory grows with the size of the changes.
#[test]
fn the_memory_of_remembered_outcomes_is_bounded_in_bytes() {
    const MAX_WHOLE_BYTES: usize = 64 << 10;
    const MAX_BYTES_BESIDE: usize = 400;
    let mut state = ReplicatedState::default();
    state.set_max_whole_change_bytes(MAX_WHOLE_BYTES);
    for number in 0..2 * MAX_REMEMBERED_OUTCOMES {
        state.apply(&large_change(number));
        assert!(state.outcomes().whole_bytes() <= MAX_WHOLE_BYTES);
    }
    assert_eq!(state.outcomes().len(), MAX_REMEMBERED_OUTCOMES);
    let bytes = state.outcomes().heap_bytes();
    assert!(bytes <= 2 * MAX_WHOLE_BYTES + MAX_BYTES_BESIDE * MAX_REMEMBERED_OUTCOMES, "{bytes}");
}

/// Guards against a retry that is applied again, or gets another outcome, once its change is not kept whole.
#[test]
fn a_retry_gets_the_first_outcome_also_after_its_change_is_no_longer_kept_whole() {
    const CHANGES: usize = 1000;
    let mut state = state_after_large_changes(CHANGES);
    let stored = record::encode(RecordType::Snapshot, &state).expect("a record");
    // The digests take the place of the changes: all of them would take 4 MB.
    assert!(stored.len() < 2 << 20, "{}", stored.len());
    let mut restored: ReplicatedState = record::decode(RecordType::Snapshot, &stored).expect("a state");
    assert_eq!(restored, state);
    assert_eq!(record::encode(RecordType::Snapshot, &restored).expect("a record"), stored);
    for state in [&mut state, &mut restored] {
        for number in [0, 1, CHANGES / 2, CHANGES - 1] {
            let first = ChangeOutcome::Done { version: number as u64 + 1, created: number == 0 };
            assert_eq!(state.apply(&large_change(number)), first);
            let other = Change { expected_version: Some(1), ..large_change(number) };
            assert_eq!(state.apply(&other), ChangeOutcome::Reused);
        }
        assert_eq!(state.view.version, CHANGES as u64);
    }
}

/// The form in which programs of earlier versions read and write the state: all changes whole.
type StoredState = (sedgerun_replication::View, BTreeMap<String, (Change, ChangeOutcome)>, Vec<String>);

/// Guards against states of other versions that cannot be read, or whose changes would be applied again.
#[test]
fn states_are_exchanged_with_programs_that_keep_all_changes_whole() {
    const CHANGES: usize = 600;
    let state = state_after_large_changes(CHANGES);
    let stored = record::encode(RecordType::Snapshot, &state).expect("a record");
    let (view, outcomes, order): StoredState =
        record::decode(RecordType::Snapshot, &stored).expect("the earlier form");
    assert_eq!((&view, outcomes.len(), order.len()), (&state.view, CHANGES, CHANGES));
    // The latest changes are whole, so that the earlier program knows their retries.
    let is_whole = |number: &usize| outcomes[&format!("k{number}")].0 == large_change(*number);
    assert!((CHANGES - 200..CHANGES).all(|number| is_whole(&number)));
    // The others have all outcomes, and a change that equals no other: a retry is not applied.
    assert!(!is_whole(&0) && outcomes["k0"].1 == ChangeOutcome::Done { version: 1, created: true });
    // What the earlier program writes has all changes whole.
    let whole = |number: usize| {
        let outcome = ChangeOutcome::Done { version: number as u64 + 1, created: number == 0 };
        (format!("k{number}"), (large_change(number), outcome))
    };
    let outcomes = BTreeMap::from_iter((0..CHANGES).map(whole));
    let earlier: StoredState = (view, outcomes, order);
    let stored = record::encode(RecordType::Snapshot, &earlier).expect("a record");
    let mut read: ReplicatedState = record::decode(RecordType::Snapshot, &stored).expect("a state");
    assert_eq!(read, state);
    assert_eq!(read.apply(&large_change(0)), ChangeOutcome::Done { version: 1, created: true });
    assert!(read.outcomes().whole_bytes() <= 1 << 20);
}
