//! When a voter campaigns: timeouts, questions to the others, and draws.

use sedgerun_replication::election::{Election, ElectionStep, ElectionTimeouts, Millis};
use std::collections::BTreeSet;

const ELECTION_TIMEOUTS: ElectionTimeouts =
    ElectionTimeouts { leader_timeout_ms: 500, jitter_ms: 300, retry_ms: 400 };

fn silent(election: &mut Election) -> (Millis, u64) {
    let voters = BTreeSet::from([1, 2, 3, 4, 5]);
    let ElectionStep::WaitUntil(due) = election.step(0, 1, &voters) else { panic!("at once") };
    let ElectionStep::PreVote { round, voters: others } = election.step(due, 1, &voters) else {
        panic!("unasked")
    };
    assert_eq!(others, BTreeSet::from([2, 3, 4, 5]));
    (due, round)
}

#[test]
fn it_campaigns_only_when_a_majority_hears_nobody() {
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let (due, round) = silent(&mut election);
    assert!((500..=800).contains(&due));
    // Of five, two more make a majority; one that hears a leader, a stranger and a repeat do not count.
    for (from, silent) in [(2, false), (9, true), (3, true), (3, true)] {
        assert!(
            matches!(election.on_pre_vote_response(due, round, from, silent), ElectionStep::WaitUntil(_)),
            "{from}"
        );
    }
    assert_eq!(election.on_pre_vote_response(due, round, 4, true), ElectionStep::Campaign);
    assert!(
        matches!(election.on_pre_vote_response(due, round, 5, true), ElectionStep::WaitUntil(_)),
        "twice"
    );
}

#[test]
fn a_leader_heard_in_between_calls_it_off() {
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let (due, round) = silent(&mut election);
    election.on_heartbeat(due);
    assert!(election.hears_leader(due + 499) && !election.hears_leader(due + 500));
    for from in 2..=5 {
        assert!(matches!(
            election.on_pre_vote_response(due + 1, round, from, true),
            ElectionStep::WaitUntil(_)
        ));
    }
}

#[test]
fn waits_after_a_draw_differ() {
    let dues = (0..20).map(|seed| {
        let mut election = Election::new(ELECTION_TIMEOUTS, seed, 0);
        let (due, _) = silent(&mut election);
        let ElectionStep::WaitUntil(again) = election.step(due, 1, &BTreeSet::from([1, 2, 3])) else {
            panic!("at once")
        };
        assert!((200..=400).contains(&(again - due)));
        (due, again)
    });
    assert!(dues.collect::<BTreeSet<_>>().len() > 15);
}

#[test]
fn a_campaign_waits_until_the_last_vote_is_synced() {
    let voters = BTreeSet::from([1]);
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let ElectionStep::WaitUntil(due) = election.step(0, 1, &voters) else { panic!("at once") };
    assert_eq!(election.step(due, 1, &voters), ElectionStep::Campaign);
    // The disk takes longer than any retry; the owner reports the vote as unsynced all the while.
    let synced = due + 10 * ELECTION_TIMEOUTS.retry_ms;
    for _ in (due..synced).step_by(50) {
        election.on_unsynced_vote();
    }
    let ElectionStep::WaitUntil(again) = election.step(synced, 1, &voters) else {
        panic!("right behind the sync")
    };
    assert!((200..=400).contains(&(again - synced)), "{again}");
    assert_eq!(election.step(again - 1, 1, &voters), ElectionStep::WaitUntil(again));
    assert_eq!(election.step(again, 1, &voters), ElectionStep::Campaign);
}

#[test]
fn answers_do_not_count_while_a_vote_for_another_is_written() {
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let (due, round) = silent(&mut election);
    election.on_unsynced_vote();
    for from in 2..=5 {
        assert!(matches!(election.on_pre_vote_response(due, round, from, true), ElectionStep::WaitUntil(_)));
    }
}

#[test]
fn a_synced_vote_brings_no_campaign_forward() {
    let voters = BTreeSet::from([1, 2, 3]);
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    election.on_heartbeat(1000);
    let ElectionStep::WaitUntil(due) = election.step(1000, 1, &voters) else { panic!("beside a leader") };
    election.on_unsynced_vote();
    assert_eq!(election.step(1001, 1, &voters), ElectionStep::WaitUntil(due));
}
