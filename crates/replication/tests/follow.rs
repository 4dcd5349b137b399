//! A follower's choice and rejection of upstreams, and a head's admission of followers.

use sedgerun_replication::follow::{
    Admission, Downstream, FOLLOWER_TIMEOUT_MS, Follower, FollowerStep, Followers, MAX_FOLLOWERS,
    MAX_UPDATE_AGE_MS, Peer, PollingFollower, Rejection, UpstreamPoll, Voters,
};
use sedgerun_replication::relay::FollowerRole;
use sedgerun_replication::subscribe::{Redirect, Route, SubscribeResponse, SubtreeSummary, Update};
use sedgerun_replication::view::{Object, ObjectKey, VersionedObject, View};

fn peer(head: &str) -> Peer {
    Peer { head: head.into(), address: format!("{head}:1") }
}

fn update(view: &View, since: u64, path: &[&str], age: u64) -> SubscribeResponse {
    let path = path.iter().map(|head| (*head).to_owned()).collect();
    SubscribeResponse::Update(Update {
        version: view.version,
        age,
        chunk: Some(view.chunk(since, 0, 1 << 20)),
        route: Some(Route { origin: Some(1), path, leader: None, voters: Voters::default() }),
        directory: None,
    })
}

/// A view at this version with one ban.
fn view_with_ban(version: u64) -> View {
    let mut view = View::default();
    view.put(VersionedObject { version, key: ObjectKey::Backend("b".into()), object: Some(Object::Ban) });
    view
}

/// Advances the time to the follower's next poll and returns it.
fn next_poll(follower: &mut Follower, now: &mut u64, view: &View) -> UpstreamPoll {
    loop {
        match follower.next_step(*now, view, false) {
            FollowerStep::WaitUntil(until) => *now = until.max(*now + 1),
            FollowerStep::Poll(poll) => return poll,
        }
    }
}

/// A follower `f0`, `f1`, ... whose store has this number.
fn downstream(i: u64) -> Downstream {
    Downstream { peer: peer(&format!("f{i}")), store: i, zone: None, version: 0, incarnation: 1 }
}

fn polling_follower(downstream: Downstream, subtree: Option<Vec<Downstream>>) -> PollingFollower {
    let summary = subtree.map(SubtreeSummary::from_followers);
    PollingFollower { downstream, role: FollowerRole::Head, bypass_relays: false, summary }
}

#[test]
fn a_follower_rejects_upstreams_in_a_cycle_stale_or_behind() {
    let mut follower = Follower::new("f1", vec![peer("k1"), peer("f1")], 1);
    let mut view = View::default();
    let mut now = 1000;
    let poll = next_poll(&mut follower, &mut now, &view);
    assert_eq!((now, poll.peer, poll.since, poll.first_version), (1000, peer("k1"), 0, 0));
    assert_eq!(follower.on_response(1000, &mut view, update(&view_with_ban(3), 0, &["k1"], 10)), Ok(true));
    assert_eq!((view.version, follower.age(1050)), (3, Some(60)));
    assert_eq!(follower.path(), ["k1", "f1"]);
    assert!(matches!(follower.next_step(1060, &view, false), FollowerStep::Poll(_)));
    let result = follower.on_response(1060, &mut view, update(&view_with_ban(9), 0, &["k1", "f1", "f2"], 10));
    assert_eq!(result, Err(Rejection::Cycle));
    assert!(
        matches!(follower.next_step(1060, &view, false), FollowerStep::WaitUntil(_)),
        "no backoff after a failure"
    );
    now = 1070;
    next_poll(&mut follower, &mut now, &view);
    assert_eq!(
        follower.on_response(now, &mut view, update(&view_with_ban(2), 0, &["k2"], 10)),
        Err(Rejection::Behind)
    );
    next_poll(&mut follower, &mut now, &view);
    let stale = update(&View::default(), 0, &["f7"], MAX_UPDATE_AGE_MS + 1);
    assert_eq!(follower.on_response(now, &mut view, stale), Err(Rejection::Stale));
    assert_eq!(view.version, 3);
    // A stale update with a newer version is applied, but the follower looks for another upstream.
    next_poll(&mut follower, &mut now, &view);
    let stale_but_newer = update(&view_with_ban(4), 3, &["f7"], MAX_UPDATE_AGE_MS + 1);
    assert_eq!(follower.on_response(now, &mut view, stale_but_newer), Err(Rejection::Stale));
    assert_eq!((view.version, follower.age(now)), (4, Some(now - 990)));
}

#[test]
fn a_full_head_redirects_to_its_followers_until_they_time_out() {
    let mut followers = Followers::default();
    for i in 0..MAX_FOLLOWERS as u64 {
        assert_eq!(followers.admit(0, polling_follower(downstream(i), None), false), Admission::Admitted);
    }
    let repeated_poll = polling_follower(downstream(3), Some(vec![downstream(100)]));
    assert_eq!(
        followers.admit(1, repeated_poll, false),
        Admission::Admitted,
        "a known follower is always admitted"
    );
    assert_eq!(followers.admit(1, polling_follower(downstream(99), None), false), Admission::Full);
    assert_eq!(followers.subtree(1).len(), MAX_FOLLOWERS + 1);
    assert_eq!(followers.summary(1).heads as usize, MAX_FOLLOWERS + 1);
    let mut follower = Follower::new("f99", vec![peer("k1")], 1);
    let mut view = View::default();
    let mut now = 1;
    next_poll(&mut follower, &mut now, &view);
    let redirect = Redirect { directory: None, peers: followers.peers() };
    let rejected = follower.on_response(now, &mut view, SubscribeResponse::Redirect(redirect));
    assert_eq!(rejected, Err(Rejection::Redirected));
    let FollowerStep::WaitUntil(mut next_at) = follower.next_step(now, &view, false) else {
        panic!("no backoff after the redirect")
    };
    let poll = next_poll(&mut follower, &mut next_at, &view);
    assert!(poll.peer.head.starts_with('f') && (poll.since, poll.first_version) == (0, 0));
    let late = FOLLOWER_TIMEOUT_MS + 1;
    let admission = followers.admit(late, polling_follower(downstream(99), None), false);
    assert_eq!(admission, Admission::Admitted, "the others have timed out");
    let same_name = Downstream { store: 98, ..downstream(99) };
    let admission = followers.admit(late + 1, polling_follower(same_name.clone(), None), false);
    assert_eq!(admission, Admission::DuplicateName);
    assert_eq!(followers.subtree(late + 1).len(), 1);
    let admission = followers.admit(late + FOLLOWER_TIMEOUT_MS + 1, polling_follower(same_name, None), false);
    assert_eq!(admission, Admission::Admitted, "the first one has timed out");
}

/// Guards against heads that hang on another head although a voter has capacity: the first voter that is full sent
/// them on to its followers before they had asked the other voters.
#[test]
fn a_follower_asks_all_voters_before_the_followers_of_a_full_one() {
    const SEEDS: u64 = 100;
    let voters = ["k1", "k2", "k3"];
    let peers: Vec<Peer> = (0..MAX_FOLLOWERS).map(|i| peer(&format!("f{i}"))).collect();
    for seed in 0..SEEDS {
        let mut follower = Follower::new("f99", voters.map(peer).to_vec(), seed);
        let (mut view, mut now) = (View::default(), 1);
        let mut asked: Vec<String> = Vec::new();
        for _ in voters {
            asked.push(next_poll(&mut follower, &mut now, &view).peer.head);
            let redirect = Redirect { directory: None, peers: peers.clone() };
            let rejected = follower.on_response(now, &mut view, SubscribeResponse::Redirect(redirect));
            assert_eq!(rejected, Err(Rejection::Redirected));
        }
        let next = next_poll(&mut follower, &mut now, &view).peer.head;
        assert!(next.starts_with('f'), "seed {seed}: {next} after {asked:?}");
        asked.sort();
        assert_eq!(asked, voters, "seed {seed}");
    }
}

/// Guards against voters that serve fewer heads than they may, as heads that followed them before they voted still took
/// up capacity.
#[test]
fn voters_that_polled_before_they_voted_take_up_no_capacity() {
    let mut followers = Followers::default();
    let future_voters = [100, 101];
    for store in future_voters {
        assert_eq!(followers.admit(0, polling_follower(downstream(store), None), false), Admission::Admitted);
    }
    followers.set_voters(future_voters.into());
    for i in 0..MAX_FOLLOWERS as u64 {
        assert_eq!(
            followers.admit(1, polling_follower(downstream(i), None), false),
            Admission::Admitted,
            "{i}"
        );
    }
    assert_eq!(followers.admit(1, polling_follower(downstream(99), None), false), Admission::Full);
}
