//! Changes to the state: repeated, conflicting, restored.

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

fn rule(key: &str, command: Command) -> Change {
    Change { key: key.into(), expected_version: None, command }
}

fn delete(key: &str, tenant: &str) -> Change {
    rule(key, Command::DeleteTenant { tenant: tenant.into() })
}

#[test]
fn a_change_that_comes_again_happens_once_and_gets_the_first_answer() {
    let mut state = ReplicatedState::default();
    let first = state.apply(put("k1", "horvat", "press", "3", Some(0)));
    assert_eq!(first, ChangeOutcome::Done { version: 1, created: true });
    assert_eq!(state.apply(delete("k2", "horvat")), ChangeOutcome::Done { version: 2, created: false });
    // Without the key kept, the repeat would bring the deleted tenant back.
    assert_eq!(state.apply(put("k1", "horvat", "press", "3", Some(0))), first);
    assert!(state.view.tenants.is_empty() && state.view.version == 2);
    assert_eq!(state.apply(put("k1", "horvat", "press", "4", Some(0))), ChangeOutcome::Reused);
}

#[test]
fn kept_answers_are_bounded() {
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
fn compare_and_set_names_the_version_that_stands() {
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
fn what_cannot_be_done_changes_nothing() {
    let mut state = ReplicatedState::default();
    state.apply(put("k1", "horvat", "press", "3", None));
    let before = state.view.clone();
    let taken = state.apply(put("k2", "other", "press", "3", None));
    assert!(matches!(taken, ChangeOutcome::Conflict(_)), "{taken:?}");
    assert!(matches!(state.apply(delete("k3", "nobody")), ChangeOutcome::Missing(_)));
    assert!(matches!(state.apply(put("k4", "", "x", "3", None)), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(rule("k5", Command::SetVoters(4))), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(rule("k6", Command::SetDeadAfter(5))), ChangeOutcome::Conflict(_)));
    assert!(matches!(state.apply(rule("k7", Command::Restore(vec![]))), ChangeOutcome::Conflict(_)));
    let lift = Command::Ban { backend: "s-1".into(), banned: false };
    assert!(matches!(state.apply(rule("k8", lift)), ChangeOutcome::Missing(_)));
    assert_eq!(state.view, before);
}

#[test]
fn a_backup_goes_into_an_empty_state_and_says_the_same() {
    let mut state = ReplicatedState::default();
    state.apply(put("k1", "horvat", "press", "3", None));
    state.apply(put("k2", "novak", "maps", "4", None));
    state.apply(delete("k3", "horvat"));
    state.apply(rule("k4", Command::Ban { backend: "s-1".into(), banned: true }));
    state.apply(rule("k5", Command::SetVoters(5)));
    let mut other = ReplicatedState::default();
    let objects = state.view.objects().collect();
    assert_eq!(
        other.apply(rule("r", Command::Restore(objects))),
        ChangeOutcome::Done { version: 3, created: true }
    );
    assert_eq!(other.view.tenants["novak"].exports, state.view.tenants["novak"].exports);
    assert_eq!((other.view.tenants.len(), &other.view.rules), (1, &state.view.rules));
    assert!(other.view.bans.contains_key("s-1"));
}
