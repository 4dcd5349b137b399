//! When a voter starts an election: timeouts, pre-votes and retry delays.

use sedgerun_replication::election::{Election, ElectionStep, ElectionTimeouts, Millis};
use std::collections::BTreeSet;

const ELECTION_TIMEOUTS: ElectionTimeouts =
    ElectionTimeouts { leader_timeout_ms: 500, jitter_ms: 300, retry_ms: 400 };

/// Lets the leader timeout of voter 1 of 5 pass without a heartbeat. Returns the time and the round of the
/// pre-vote.
fn start_pre_vote(election: &mut Election) -> (Millis, u64) {
    let voters = BTreeSet::from([1, 2, 3, 4, 5]);
    let ElectionStep::WaitUntil(timeout_at) = election.step(0, 1, &voters) else {
        panic!("no wait for the leader timeout")
    };
    let ElectionStep::PreVote { round, voters: others } = election.step(timeout_at, 1, &voters) else {
        panic!("no pre-vote after the leader timeout")
    };
    assert_eq!(others, BTreeSet::from([2, 3, 4, 5]));
    (timeout_at, round)
}

#[test]
fn a_voter_campaigns_only_after_a_majority_reports_no_leader() {
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let (now, round) = start_pre_vote(&mut election);
    assert!((500..=800).contains(&now));
    // Two of the other four voters complete a majority of five. A voter with a leader, a head that is not a
    // voter and a repeated response do not count.
    for (from, has_no_leader) in [(2, false), (9, true), (3, true), (3, true)] {
        assert!(
            matches!(
                election.on_pre_vote_response(now, round, from, has_no_leader),
                ElectionStep::WaitUntil(_)
            ),
            "{from}"
        );
    }
    assert_eq!(election.on_pre_vote_response(now, round, 4, true), ElectionStep::Campaign);
    assert!(
        matches!(election.on_pre_vote_response(now, round, 5, true), ElectionStep::WaitUntil(_)),
        "second campaign in one round"
    );
}

#[test]
fn a_heartbeat_cancels_the_pre_vote() {
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let (now, round) = start_pre_vote(&mut election);
    election.on_heartbeat(now);
    assert!(election.hears_leader(now + 499) && !election.hears_leader(now + 500));
    for from in 2..=5 {
        assert!(matches!(
            election.on_pre_vote_response(now + 1, round, from, true),
            ElectionStep::WaitUntil(_)
        ));
    }
}

#[test]
fn timeouts_and_retry_delays_are_random() {
    let times = (0..20).map(|seed| {
        let mut election = Election::new(ELECTION_TIMEOUTS, seed, 0);
        let (now, _) = start_pre_vote(&mut election);
        let ElectionStep::WaitUntil(retry_at) = election.step(now, 1, &BTreeSet::from([1, 2, 3])) else {
            panic!("no retry delay")
        };
        assert!((200..=400).contains(&(retry_at - now)));
        (now, retry_at)
    });
    assert!(times.collect::<BTreeSet<_>>().len() > 15);
}

#[test]
fn the_next_campaign_waits_until_the_last_vote_is_synced() {
    let voters = BTreeSet::from([1]);
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let ElectionStep::WaitUntil(timeout_at) = election.step(0, 1, &voters) else {
        panic!("no wait for the leader timeout")
    };
    assert_eq!(election.step(timeout_at, 1, &voters), ElectionStep::Campaign);
    // The sync takes longer than any retry delay; the caller reports the vote as unsynced until then.
    let synced_at = timeout_at + 10 * ELECTION_TIMEOUTS.retry_ms;
    for _ in (timeout_at..synced_at).step_by(50) {
        election.on_unsynced_vote();
    }
    let ElectionStep::WaitUntil(retry_at) = election.step(synced_at, 1, &voters) else {
        panic!("no retry delay after the sync")
    };
    assert!((200..=400).contains(&(retry_at - synced_at)), "{retry_at}");
    assert_eq!(election.step(retry_at - 1, 1, &voters), ElectionStep::WaitUntil(retry_at));
    assert_eq!(election.step(retry_at, 1, &voters), ElectionStep::Campaign);
}

#[test]
fn pre_vote_responses_do_not_count_while_a_vote_is_unsynced() {
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    let (now, round) = start_pre_vote(&mut election);
    election.on_unsynced_vote();
    for from in 2..=5 {
        assert!(matches!(election.on_pre_vote_response(now, round, from, true), ElectionStep::WaitUntil(_)));
    }
}

#[test]
fn a_synced_vote_does_not_advance_the_next_election() {
    let voters = BTreeSet::from([1, 2, 3]);
    let mut election = Election::new(ELECTION_TIMEOUTS, 1, 0);
    election.on_heartbeat(1000);
    let ElectionStep::WaitUntil(timeout_at) = election.step(1000, 1, &voters) else {
        panic!("an election right after a heartbeat")
    };
    election.on_unsynced_vote();
    assert_eq!(election.step(1001, 1, &voters), ElectionStep::WaitUntil(timeout_at));
}
