//! The memory of heads whose replicated state is changed again and again.
//!
//! A head over `limits.memory_mb` is killed by the platform, so each test compares the resident memory of all heads
//! with that limit while it runs.

mod harness;

use harness::large_tenants::{TENANTS, large_tenant, put_tenant, put_until_committed, resident_kib};
use harness::{Harness, Said, call};
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;
const VOTERS: usize = 3;
/// More changes than took a head over its limit when each was kept whole, some 600.
const CHANGES: usize = 1200;
/// Time that a restarted head is watched: its log and its snapshot are read within it.
const RESTART_WATCH: Duration = Duration::from_secs(3);

fn limits() -> Value {
    json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
}

/// Metrics of a head on what it holds of the replicated state.
fn memory_metrics(harness: &Harness, head: usize) -> String {
    let metrics = harness.mgmt(head, "show-stat");
    let is_of_state = |line: &&str| {
        ["view_bytes", "outcome", "log_", "snapshot_bytes", "fleet_version"]
            .iter()
            .any(|name| line.contains(name))
    };
    metrics.lines().filter(is_of_state).collect::<Vec<_>>().join("\n")
}

fn assert_within_limit(harness: &Harness, when: &str) {
    for head in (0..harness.heads.len()).filter(|head| harness.heads[*head].is_some()) {
        let kib = resident_kib(harness, head);
        let within = kib <= MEMORY_MB * 1024;
        assert!(within, "n{head} holds {kib} KiB {when}:\n{}", memory_metrics(harness, head));
    }
}

fn started() -> Harness {
    let mut harness = Harness::laid(VOTERS, VOTERS);
    harness.limits = Some(limits());
    harness.begin();
    harness
}

/// The tenants with their exports, as a head itself holds them.
fn tenants(harness: &Harness, head: usize) -> Value {
    call(harness.api(head), "GET /v1/tenants", "", "").map(|said| said.body).unwrap_or_default()
}

/// Changes the tenants in turn, some 4 KB at a time.
fn change_tenants(harness: &Harness, changes: usize) {
    for change in 0..changes {
        put_until_committed(harness, change % VOTERS, change % TENANTS, change / TENANTS);
        assert_within_limit(harness, &format!("after {change} changes"));
    }
}

/// Guards against heads that keep each change whole until they are over their limit and are killed.
#[test]
fn changes_of_tenants_do_not_take_heads_over_their_limit() {
    let harness = started();
    change_tenants(&harness, CHANGES);
}

/// Guards against heads that are over their limit again after each start, as their disks bring everything back.
#[test]
fn heads_that_start_over_many_changes_are_within_their_limit() {
    let mut harness = started();
    change_tenants(&harness, CHANGES);
    let last = CHANGES / TENANTS - 1;
    let first_outcome = put_until_committed(&harness, 0, TENANTS - 1, last);
    (0..VOTERS).for_each(|head| harness.kill(head));
    (0..VOTERS).for_each(|head| harness.up(head));
    let begun = Instant::now();
    while begun.elapsed() < RESTART_WATCH {
        assert_within_limit(&harness, "after a restart");
        thread::sleep(Duration::from_millis(20));
    }
    harness.leader(&[0, 1, 2]);
    // The retry of a change from before the restart gets the first outcome.
    assert_eq!(put_until_committed(&harness, 1, TENANTS - 1, last), first_outcome);
    assert_within_limit(&harness, "after a retry");
}

/// Guards against a voter that lags by more than the leader has in memory and never catches up.
#[test]
fn a_voter_that_lags_by_more_than_the_memory_for_the_log_catches_up() {
    const LAGGING: usize = 2;
    let mut harness = started();
    put_until_committed(&harness, 0, 0, 0);
    harness.kill(LAGGING);
    let last = CHANGES / TENANTS - 1;
    for change in TENANTS..CHANGES {
        put_until_committed(&harness, change % LAGGING, change % TENANTS, change / TENANTS);
    }
    assert_within_limit(&harness, "while a voter is down");
    harness.up(LAGGING);
    let expected = tenants(&harness, 0);
    harness.until("the voter has caught up", || (tenants(&harness, LAGGING) == expected).then_some(()));
    assert_within_limit(&harness, "after a voter has caught up");
    let retried = put_until_committed(&harness, LAGGING, 0, last);
    assert_eq!(Some(retried), expected["tenants"][0]["version"].as_u64());
}

/// Guards against tenants that are accepted until the heads are over their limit: one too many is refused, in words,
/// and everything else goes on.
#[test]
fn a_tenant_that_the_heads_have_no_memory_for_is_refused() {
    /// More tenants than fit into the memory of a head.
    const TOO_MANY: usize = 2000;
    const NO_FORM: usize = 0;
    let harness = started();
    let mut accepted = 0;
    let refused = loop {
        assert!(accepted < TOO_MANY, "{accepted} tenants are accepted");
        let head = accepted % VOTERS;
        let said = harness.until("an answer", || {
            put_tenant(&harness, head, accepted, NO_FORM).filter(|said| said.status != 503)
        });
        assert_within_limit(&harness, &format!("with {accepted} tenants"));
        if said.status != 201 {
            break said;
        }
        accepted += 1;
    };
    let reason = refused.body["error"].as_str().unwrap_or_default();
    assert!(refused.status == 409 && reason.contains("limits.memory_mb"), "{refused:?}");
    // The tenants that are there can be changed, and a retry gets its first outcome.
    let changed = put_until_committed(&harness, 1, 0, 1);
    assert_eq!(put_until_committed(&harness, 2, 0, 1), changed);
    let first = put_until_committed(&harness, 0, 1, NO_FORM);
    assert!(first < changed, "{first} {changed}");
    // One that goes makes room for another.
    let deleted = call(harness.api(0), "DELETE /v1/tenants/shop-00", "", "").expect("an answer");
    assert_eq!(deleted.status, 204, "{deleted:?}");
    put_until_committed(&harness, 1, accepted, NO_FORM);
    (0..VOTERS).for_each(|head| harness.synced(head));
    assert_within_limit(&harness, "with all tenants that fit");
}

/// Guards against changes that wait for a majority until they take their head over its limit: those past the memory for
/// them are refused at once.
#[test]
fn large_changes_that_wait_for_a_majority_do_not_take_a_head_over_its_limit() {
    const CLIENTS: usize = 64;
    /// Exports of a tenant whose settings take almost 64 KiB.
    const MANY_EXPORTS: usize = 300;
    const ROUNDS: usize = 3;
    let mut harness = started();
    harness.kill(1);
    harness.kill(2);
    let api = harness.api(0);
    let body = large_tenant(MANY_EXPORTS).to_string();
    for _ in 0..ROUNDS {
        let answers: Vec<Option<Said>> = thread::scope(|scope| {
            let ask = |client: usize| {
                let request = format!("PUT /v1/tenants/waiting-{client:02}");
                let body = &body;
                scope.spawn(move || call(api, &request, "", body))
            };
            let asked: Vec<_> = (0..CLIENTS).map(ask).collect();
            asked.into_iter().map(|asked| asked.join().expect("a client")).collect()
        });
        let reasons: Vec<String> = answers
            .iter()
            .flatten()
            .inspect(|said| assert_eq!(said.status, 503, "{said:?}"))
            .map(|said| said.body["error"].as_str().unwrap_or_default().to_owned())
            .collect();
        assert!(
            reasons.iter().any(|reason| reason.starts_with("the changes that wait at this head")),
            "{reasons:?}"
        );
        assert!(reasons.iter().any(|reason| reason.contains("majority")), "{reasons:?}");
    }
    let peak = harness.program(0).peak_memory_kib();
    assert!(peak <= MEMORY_MB * 1024, "n0 held {peak} KiB:\n{}", memory_metrics(&harness, 0));
    harness.up(1);
    put_until_committed(&harness, 0, 0, 0);
}
