//! Changes to the replicated state: retries, conflicts, compare-and-set, and restored backups.

use sedgerun_replication::state::{Change, ChangeOutcome, Command, MAX_REMEMBERED_OUTCOMES, ReplicatedState};
use sedgerun_replication::view::ExportFields;

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
    let first = state.apply(put("k1", "horvat", "press", "3", Some(0)));
    assert_eq!(first, ChangeOutcome::Done { version: 1, created: true });
    assert_eq!(state.apply(delete("k2", "horvat")), ChangeOutcome::Done { version: 2, created: false });
    // If the key were not remembered, the retry would create the deleted tenant again.
    assert_eq!(state.apply(put("k1", "horvat", "press", "3", Some(0))), first);
    assert!(state.view.tenants.is_empty() && state.view.version == 2);
    assert_eq!(state.apply(put("k1", "horvat", "press", "4", Some(0))), ChangeOutcome::Reused);
}

#[test]
fn the_number_of_remembered_outcomes_is_bounded() {
    let mut state = ReplicatedState::default();
    for i in 0..MAX_REMEMBERED_OUTCOMES + 10 {
        state.apply(put(&format!("k{i}"), "horvat", "press", "3", None));
    }
    assert_eq!(
        (state.remembered_outcomes().len(), state.outcome_order().len()),
        (MAX_REMEMBERED_OUTCOMES, MAX_REMEMBERED_OUTCOMES)
    );
    assert!(
        !state.remembered_outcomes().contains_key("k9") && state.remembered_outcomes().contains_key("k10")
    );
}

#[test]
fn a_failed_compare_and_set_returns_the_current_version() {
    let mut state = ReplicatedState::default();
    state.apply(put("k1", "horvat", "press", "3", None));
    assert_eq!(state.apply(put("k2", "horvat", "proofs", "3", Some(0))), ChangeOutcome::Stale(1));
    assert_eq!(
        state.apply(put("k3", "horvat", "proofs", "3", Some(1))),
        ChangeOutcome::Done { version: 2, created: true }
    );
    assert_eq!(state.view.tenants["horvat"].version, 2);
}

#[test]
fn rejected_changes_leave_the_view_unchanged() {
    let mut state = ReplicatedState::default();
    state.apply(put("k1", "horvat", "press", "3", None));
    let before = state.view.clone();
    let duplicate = state.apply(put("k2", "other", "press", "3", None));
    assert!(matches!(duplicate, ChangeOutcome::Conflict(_)), "{duplicate:?}");
    assert!(matches!(state.apply(delete("k3", "nobody")), ChangeOutcome::Missing(_)));
    assert!(matches!(state.apply(put("k4", "", "x", "3", None)), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(change("k5", Command::SetVoters(4))), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(change("k6", Command::SetDeadAfter(5))), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(change("k7", Command::Restore(vec![]))), ChangeOutcome::Conflict(_)));
    let lift_ban = Command::Ban { backend: "s-1".into(), banned: false };
    assert!(matches!(state.apply(change("k8", lift_ban)), ChangeOutcome::Missing(_)));
    assert_eq!(state.view, before);
}

#[test]
fn a_backup_restored_into_an_empty_state_gives_the_same_contents() {
    let mut state = ReplicatedState::default();
    state.apply(put("k1", "horvat", "press", "3", None));
    state.apply(put("k2", "novak", "maps", "4", None));
    state.apply(delete("k3", "horvat"));
    state.apply(change("k4", Command::Ban { backend: "s-1".into(), banned: true }));
    state.apply(change("k5", Command::SetVoters(5)));
    let mut restored = ReplicatedState::default();
    let objects = state.view.objects().collect();
    assert_eq!(
        restored.apply(change("r", Command::Restore(objects))),
        ChangeOutcome::Done { version: 3, created: true }
    );
    assert_eq!(restored.view.tenants["novak"].exports, state.view.tenants["novak"].exports);
    assert_eq!((restored.view.tenants.len(), &restored.view.rules), (1, &state.view.rules));
    assert!(restored.view.bans.contains_key("s-1"));
}
