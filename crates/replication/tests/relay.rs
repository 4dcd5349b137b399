//! Relays: selection, leases, message sizes, and whole fleets under sequences of deaths, cuts and returns.

mod simulator;

use proptest::prelude::*;
use sedgerun_replication::follow::{Downstream, MAX_UPDATE_AGE_MS, Peer, Voters};
use sedgerun_replication::relay::{
    FollowerRole, LEASE_MS, MAX_RELAYS, RegistrationError, Relay, RelayDirectory, RelayRegistry, RelayStatus,
};
use sedgerun_replication::subscribe::{
    CachedDigests, LegacyPeers, MAX_SAMPLE, Route, SubscribeResponse, Subscription, SubtreeSummary,
    SummaryReporter, Update,
};
use sedgerun_replication::transfer_permits::{MAX_TRANSFERS, TransferPermits};
use sedgerun_replication::upstream::UpdateSource;
use sedgerun_replication::view::View;
use simulator::{Event, Fleet, Layout};
use std::collections::{BTreeMap, BTreeSet};

fn peer(head: &str) -> Peer {
    Peer { head: head.into(), address: format!("10.0.0.1:{}", 1000 + head.len()) }
}

fn relay(name: &str, region: &str, store: u64) -> Relay {
    Relay { peer: peer(name), region: Some(region.into()), zone: None, store, incarnation: 1 }
}

fn status(name: &str, store: u64) -> RelayStatus {
    RelayStatus { relay: relay(name, "r1", store), followers: 0 }
}

fn downstream(number: u64) -> Downstream {
    let head = format!("a-head-with-a-long-name-{number:06}");
    let at = Peer { address: "255.255.255.255:65535".into(), head };
    Downstream {
        peer: at,
        store: u64::MAX - number,
        zone: Some("zone-17".into()),
        version: number,
        incarnation: 3,
    }
}

/// How many heads choose each relay first.
fn first_choices(directory: &RelayDirectory, region: &str, heads: usize) -> BTreeMap<String, usize> {
    let mut chosen: BTreeMap<String, usize> = BTreeMap::new();
    for head in 0..heads {
        let ranked = directory.ranked(&format!("host-{head}.{region}"), Some(region));
        *chosen.entry(ranked[0].peer.head.clone()).or_default() += 1;
    }
    chosen
}

#[test]
fn heads_spread_evenly_over_the_relays_of_their_region_and_over_the_rest_when_one_dies() {
    let relays = (0..24).map(|i| relay(&format!("relay{i}"), if i < 12 { "r1" } else { "r2" }, i));
    let relays: Vec<Relay> = relays.collect();
    for live in [relays.clone(), relays[1..].to_vec()] {
        let in_region = live.iter().filter(|relay| relay.region.as_deref() == Some("r1")).count();
        let heads = 500 * in_region;
        let chosen = first_choices(&RelayDirectory::new(live.clone()), "r1", heads);
        assert_eq!(chosen.len(), in_region, "{chosen:?}");
        let most = chosen.values().max().copied().unwrap_or(0);
        assert!(most * 10 <= 500 * 13, "{chosen:?}");
        assert!(chosen.keys().all(|name| live.iter().any(|relay| relay.peer.head == *name)));
    }
    // Those that had another relay stay with it.
    let (before, after) = (RelayDirectory::new(relays.clone()), RelayDirectory::new(relays[1..].to_vec()));
    for head in 0..1000 {
        let head = format!("host-{head}");
        let first = before.ranked(&head, Some("r1"))[0].peer.head.clone();
        if first != "relay0" {
            assert_eq!(after.ranked(&head, Some("r1"))[0].peer.head, first);
        }
    }
}

proptest! {
    #[test]
    fn leases_expire_and_names_are_unique(
        steps in prop::collection::vec((0u64..3000, 0usize..6, 1u64..4), 1..200)
    ) {
        let mut registry = RelayRegistry::default();
        let mut granted: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let mut now = 0;
        for (elapsed, name, store) in steps {
            now += elapsed;
            let name = format!("relay{name}");
            let held = granted.get(&name).copied().filter(|(_, at)| now < at + LEASE_MS);
            let registered = registry.register(now, status(&name, store));
            match held {
                Some((holder, _)) if holder != store => {
                    prop_assert_eq!(registered, Err(RegistrationError::DuplicateName));
                }
                _ => {
                    prop_assert_eq!(registered, Ok(()));
                    granted.insert(name, (store, now));
                }
            }
            let live: BTreeSet<(String, u64)> = granted
                .iter()
                .filter(|(_, (_, at))| now < at + LEASE_MS)
                .map(|(name, (store, _))| (name.clone(), *store))
                .collect();
            let listed = registry.relays(now).into_iter().map(|s| (s.relay.peer.head, s.relay.store));
            prop_assert_eq!(listed.collect::<BTreeSet<_>>(), live);
        }
    }

    /// Whatever hangs on a head, its poll and the answer to it stay small.
    #[test]
    fn messages_are_bounded_whatever_the_subtree(heads in 0u64..20_000, relays in 0u64..200) {
        let mut sample = SubtreeSummary::from_followers((0..heads.min(700)).map(downstream).collect());
        sample.heads = heads as u32;
        prop_assert!(sample.sample.len() <= MAX_SAMPLE);
        let directory = RelayDirectory::new((0..relays).map(|i| relay(&format!("relay-{i:04}"), "region-1", i)));
        prop_assert!(directory.relays().len() <= MAX_RELAYS);
        let route = Route {
            origin: Some(u64::MAX),
            path: (0..3).map(|i| format!("a-head-with-a-long-name-{i}")).collect(),
            leader: Some(peer("a-head-with-a-long-name")),
            voters: Voters { log_index: 7, by_store: (0..5).map(|i| (u64::MAX - i, peer("voter"))).collect() },
        };
        let source = UpdateSource { route, age: 4000, directory: Some(directory) };
        let mut subscription = Subscription {
            role: FollowerRole::Head,
            region: Some("region-1".into()),
            version: 0,
            since: 0,
            first_version: 0,
            poll_timeout: 3000,
            cached: CachedDigests::default(),
            bypass_relays: false,
            summary: Some(sample),
        };
        let size = |bytes: Result<Vec<u8>, postcard::Error>| bytes.expect("a message").len();
        prop_assert!(size(postcard::to_stdvec(&subscription)) < 1600);
        let first = source.update(&View::default(), &subscription, 1 << 18);
        let Update { route: Some(route), directory: Some(sent), .. } = &first else {
            return Err(TestCaseError::fail("the first answer has the route and the directory"));
        };
        prop_assert!(size(postcard::to_stdvec(&SubscribeResponse::Update(first.clone()))) < 6000);
        // From then on neither goes with an idle poll or its answer.
        subscription.cached = CachedDigests { route: sedgerun_replication::digest::digest_of(route), directory: sent.digest() };
        subscription.summary = None;
        prop_assert!(size(postcard::to_stdvec(&subscription)) <= 40);
        let idle = source.update(&View::default(), &subscription, 1 << 18);
        prop_assert!(size(postcard::to_stdvec(&SubscribeResponse::Update(idle))) <= 16);
    }

    #[test]
    fn large_transfers_are_admitted_a_few_at_a_time_and_all_come_to_their_turn(
        followers in 1usize..200, chunks in 1u64..6, seed in any::<u64>()
    ) {
        let mut permits = TransferPermits::new(seed);
        let mut due: BTreeMap<u64, (u64, u64)> = (0..followers as u64).map(|store| (store, (0, chunks))).collect();
        let (mut now, mut last) = (0, 0);
        let mut open: BTreeMap<u64, u64> = BTreeMap::new();
        while !due.is_empty() {
            for store in due.keys().copied().collect::<Vec<u64>>() {
                let (at, left) = due[&store];
                if at > now {
                    continue;
                }
                match permits.acquire(now, store) {
                    Err(wait) => {
                        prop_assert!((200..=1000).contains(&wait));
                        due.insert(store, (now + wait, left));
                    }
                    Ok(()) => {
                        open.insert(store, now);
                        due.insert(store, (now + 20, left - 1));
                        if left == 1 {
                            permits.release(store);
                            open.remove(&store);
                            due.remove(&store);
                        }
                        last = now;
                    }
                }
            }
            prop_assert!(open.len() <= MAX_TRANSFERS, "{} at once", open.len());
            now += 10;
            prop_assert!(now < 600_000, "never served: {due:?}");
        }
        prop_assert!(last <= now);
    }
}

#[test]
fn a_voter_that_has_just_started_says_nothing_of_the_relays() {
    let mut registry = RelayRegistry::default();
    assert_eq!(registry.directory(0), None);
    registry.set_voting(100, true);
    registry.register(200, status("relay1", 1)).expect("a lease");
    assert_eq!(registry.directory(100 + LEASE_MS - 1), None);
    registry.register(100 + LEASE_MS, status("relay1", 1)).expect("a lease");
    assert_eq!(registry.directory(100 + LEASE_MS).map(|directory| directory.relays().len()), Some(1));
    registry.set_voting(100 + LEASE_MS, false);
    assert_eq!(registry.directory(100 + 3 * LEASE_MS), None);
}

#[test]
fn a_summary_is_sent_when_it_changes_and_seldom_otherwise() {
    let mut reporter = SummaryReporter::default();
    let one = SubtreeSummary::from_followers(vec![downstream(1)]);
    assert_eq!(reporter.next_report(0, SubtreeSummary::default()), None, "a leaf says nothing");
    assert_eq!(reporter.next_report(10, one.clone()), Some(one.clone()));
    assert_eq!(reporter.next_report(20_000, one.clone()), None);
    assert_eq!(reporter.next_report(30_010, one.clone()), Some(one.clone()));
    let mut newer = one.clone();
    (newer.lowest_version, newer.sample[0].version) = (9, 9);
    assert_eq!(reporter.next_report(31_500, newer.clone()), None, "another version alone can wait");
    assert_eq!(reporter.next_report(35_010, newer.clone()), Some(newer.clone()));
    let two = SubtreeSummary::from_followers(vec![downstream(1), downstream(2)]);
    assert_eq!(reporter.next_report(35_500, two.clone()), None);
    assert_eq!(reporter.next_report(36_010, two.clone()), Some(two));
    assert_eq!(
        reporter.next_report(37_010, SubtreeSummary::default()),
        Some(SubtreeSummary::default()),
        "all have gone"
    );
    assert_eq!(reporter.next_report(90_000, SubtreeSummary::default()), None);
    reporter.reset();
    assert_eq!(reporter.next_report(90_001, one.clone()), Some(one));
}

#[test]
fn an_old_peer_is_remembered_for_its_incarnation_alone() {
    let mut legacy = LegacyPeers::default();
    legacy.remember(0, "h1", 3);
    assert!(legacy.contains(1000, "h1", 3));
    assert!(!legacy.contains(1000, "h1", 4), "it may have been replaced by a newer program");
    assert!(!legacy.contains(1000, "h2", 3));
    (0..1000).for_each(|i| legacy.remember(1, &format!("other{i}"), 1));
    assert!(legacy.contains(1000, "h1", 3));
    assert!(!legacy.contains(10_000_000, "h1", 3), "it is asked again after a while");
}

const LAYOUT: Layout = Layout { regions: 3, voters: 3, relays_per_region: 2, heads_per_region: 12 };

fn event() -> impl Strategy<Value = Event> {
    let relay = 0..LAYOUT.regions * LAYOUT.relays_per_region;
    let head = 0..LAYOUT.regions * LAYOUT.heads_per_region;
    prop_oneof![
        3 => relay.clone().prop_map(Event::KillRelay),
        3 => relay.clone().prop_map(Event::StartRelay),
        1 => head.clone().prop_map(Event::KillHead),
        1 => head.prop_map(Event::StartHead),
        1 => (1..LAYOUT.voters).prop_map(Event::KillVoter),
        1 => (1..LAYOUT.voters).prop_map(Event::StartVoter),
        2 => (1..LAYOUT.regions).prop_map(Event::Cut),
        2 => (1..LAYOUT.regions).prop_map(Event::Join),
        1 => relay.clone().prop_map(Event::Slow),
        1 => relay.prop_map(Event::Quick),
        2 => Just(Event::Change),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Deaths, cuts, slowness and returns in any order: never a ring, no head beyond its capacity, and once
    /// the order of events is over every head with a way to a voter is up to date.
    #[test]
    fn a_head_reaches_a_live_path_whenever_there_is_one(
        seed in any::<u64>(),
        events in prop::collection::vec((0u64..20_000, event()), 0..30)
    ) {
        let mut fleet = Fleet::start(LAYOUT, seed);
        fleet.run_for(10_000);
        for (elapsed, event) in events {
            fleet.run_for(elapsed);
            fleet.apply(event);
        }
        for _ in 0..40 {
            fleet.run_for(5000);
            fleet.apply(Event::Change);
        }
        fleet.run_for(5000);
        for head in fleet.heads().filter(|head| fleet.has_way_to_voter(*head)) {
            let age = fleet.age(head);
            prop_assert!(age.is_some_and(|age| age <= MAX_UPDATE_AGE_MS), "{}", fleet.describe(head));
            prop_assert_eq!(fleet.version(head), fleet.latest(), "{}", fleet.describe(head));
        }
    }
}

#[test]
fn with_relays_every_head_hangs_on_one_of_its_region_and_serves_nobody() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(LAYOUT, seed);
        fleet.run_for(90_000);
        for head in fleet.heads() {
            assert!(fleet.follows_relay_of_its_region(head), "{}", fleet.describe(head));
            assert_eq!(fleet.followers(head), 0, "{}", fleet.describe(head));
        }
    }
}

#[test]
fn without_relays_heads_form_a_tree() {
    let layout = Layout { relays_per_region: 0, heads_per_region: 40, ..LAYOUT };
    let mut fleet = Fleet::start(layout, 7);
    fleet.run_for(30_000);
    fleet.apply(Event::Change);
    fleet.run_for(5000);
    for head in fleet.heads() {
        assert_eq!(fleet.version(head), fleet.latest(), "{}", fleet.describe(head));
    }
    assert!(fleet.heads().any(|head| fleet.followers(head) > 0));
}

#[test]
fn the_heads_of_a_region_that_is_cut_off_stay_with_their_relay_and_are_up_to_date_soon_after() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(LAYOUT, seed);
        fleet.run_for(60_000);
        let upstreams = |fleet: &Fleet| -> Vec<Option<String>> {
            fleet.heads_of(1).map(|head| fleet.upstream(head)).collect()
        };
        let before = upstreams(&fleet);
        fleet.apply(Event::Cut(1));
        fleet.run_for(1000);
        fleet.apply(Event::Change);
        let moves = fleet.moves();
        fleet.run_for(120_000);
        assert_eq!(upstreams(&fleet), before, "seed {seed}");
        assert_eq!(fleet.moves(), moves, "seed {seed}: they moved during the cut");
        for head in fleet.heads_of(1) {
            assert!(fleet.age(head).is_some_and(|age| age > 100_000), "{}", fleet.describe(head));
        }
        fleet.apply(Event::Join(1));
        fleet.run_for(7000);
        for head in fleet.heads_of(1) {
            assert_eq!(fleet.version(head), fleet.latest(), "{}", fleet.describe(head));
        }
    }
}

#[test]
fn a_relay_that_dies_or_is_slow_is_left_and_a_change_reaches_its_heads_in_seven_seconds() {
    for seed in 0..10 {
        for event in [Event::KillRelay(0), Event::Slow(0)] {
            let mut fleet = Fleet::start(LAYOUT, seed);
            fleet.run_for(60_000);
            fleet.apply(event);
            fleet.apply(Event::Change);
            fleet.run_for(7000);
            for head in fleet.heads() {
                assert_eq!(fleet.version(head), fleet.latest(), "seed {seed}: {}", fleet.describe(head));
            }
        }
    }
}
