//! Relays: selection, leases, message sizes, and simulated clusters with crashes, partitions and restarts.

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
use simulator::{Event, Layout, SimulatedCluster};
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
fn heads_spread_evenly_over_the_relays_of_their_region_also_after_one_fails() {
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
    // Heads of the remaining relays keep their first choice.
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
            let live_lease = granted.get(&name).copied().filter(|(_, at)| now < at + LEASE_MS);
            let registered = registry.register(now, status(&name, store));
            match live_lease {
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

    /// The size of a poll and of its response has a limit that does not depend on the size of the subtree.
    #[test]
    fn message_sizes_are_bounded_for_any_subtree(heads in 0u64..20_000, relays in 0u64..200) {
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
            return Err(TestCaseError::fail("the first response lacks the route or the directory"));
        };
        prop_assert!(size(postcard::to_stdvec(&SubscribeResponse::Update(first.clone()))) < 6000);
        // Once they are cached, a poll without changes carries neither of them, and nor does its response.
        subscription.cached = CachedDigests { route: sedgerun_replication::digest::digest_of(route), directory: sent.digest() };
        subscription.summary = None;
        prop_assert!(size(postcard::to_stdvec(&subscription)) <= 40);
        let unchanged = source.update(&View::default(), &subscription, 1 << 18);
        prop_assert!(size(postcard::to_stdvec(&SubscribeResponse::Update(unchanged))) <= 16);
    }

    #[test]
    fn large_transfers_are_limited_and_every_follower_is_served(
        followers in 1usize..200, chunks in 1u64..6, seed in any::<u64>()
    ) {
        let mut permits = TransferPermits::new(seed);
        // Time of the next request and number of chunks left, for each follower.
        let mut waiting: BTreeMap<u64, (u64, u64)> = (0..followers as u64).map(|store| (store, (0, chunks))).collect();
        let (mut now, mut last_grant_at) = (0, 0);
        let mut permit_holders: BTreeMap<u64, u64> = BTreeMap::new();
        while !waiting.is_empty() {
            for store in waiting.keys().copied().collect::<Vec<u64>>() {
                let (request_at, chunks_left) = waiting[&store];
                if request_at > now {
                    continue;
                }
                match permits.acquire(now, store) {
                    Err(retry_after) => {
                        prop_assert!((200..=1000).contains(&retry_after));
                        waiting.insert(store, (now + retry_after, chunks_left));
                    }
                    Ok(()) => {
                        permit_holders.insert(store, now);
                        waiting.insert(store, (now + 20, chunks_left - 1));
                        if chunks_left == 1 {
                            permits.release(store);
                            permit_holders.remove(&store);
                            waiting.remove(&store);
                        }
                        last_grant_at = now;
                    }
                }
            }
            prop_assert!(permit_holders.len() <= MAX_TRANSFERS, "{} at once", permit_holders.len());
            now += 10;
            prop_assert!(now < 600_000, "never served: {waiting:?}");
        }
        prop_assert!(last_grant_at <= now);
    }
}

#[test]
fn a_new_voter_has_no_directory_until_all_relays_could_register() {
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
fn an_unchanged_summary_is_sent_less_often_than_a_changed_one() {
    let mut reporter = SummaryReporter::default();
    let one = SubtreeSummary::from_followers(vec![downstream(1)]);
    assert_eq!(reporter.next_report(0, SubtreeSummary::default()), None, "no followers, no summary");
    assert_eq!(reporter.next_report(10, one.clone()), Some(one.clone()));
    assert_eq!(reporter.next_report(20_000, one.clone()), None);
    assert_eq!(reporter.next_report(30_010, one.clone()), Some(one.clone()));
    let mut newer = one.clone();
    (newer.lowest_version, newer.sample[0].version) = (9, 9);
    assert_eq!(reporter.next_report(31_500, newer.clone()), None, "a changed version is sent after 5 s");
    assert_eq!(reporter.next_report(35_010, newer.clone()), Some(newer.clone()));
    let two = SubtreeSummary::from_followers(vec![downstream(1), downstream(2)]);
    assert_eq!(reporter.next_report(35_500, two.clone()), None);
    assert_eq!(reporter.next_report(36_010, two.clone()), Some(two));
    assert_eq!(
        reporter.next_report(37_010, SubtreeSummary::default()),
        Some(SubtreeSummary::default()),
        "the last follower was removed"
    );
    assert_eq!(reporter.next_report(90_000, SubtreeSummary::default()), None);
    reporter.reset();
    assert_eq!(reporter.next_report(90_001, one.clone()), Some(one));
}

#[test]
fn a_legacy_peer_is_remembered_for_one_incarnation() {
    let mut legacy = LegacyPeers::default();
    legacy.remember(0, "h1", 3);
    assert!(legacy.contains(1000, "h1", 3));
    assert!(!legacy.contains(1000, "h1", 4), "it may have been upgraded");
    assert!(!legacy.contains(1000, "h2", 3));
    (0..1000).for_each(|i| legacy.remember(1, &format!("other{i}"), 1));
    assert!(legacy.contains(1000, "h1", 3));
    assert!(!legacy.contains(10_000_000, "h1", 3), "it is forgotten after a while");
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
        2 => (1..LAYOUT.regions).prop_map(Event::Partition),
        2 => (1..LAYOUT.regions).prop_map(Event::Heal),
        1 => relay.clone().prop_map(Event::SlowDown),
        1 => relay.prop_map(Event::SpeedUp),
        2 => Just(Event::CommitChange),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Whatever the order of crashes, partitions, slow relays and restarts, no head follows itself or serves
    /// more than its capacity, and after the last event every head that can reach a voter becomes up to date.
    #[test]
    fn every_head_that_can_reach_a_voter_becomes_up_to_date(
        seed in any::<u64>(),
        events in prop::collection::vec((0u64..20_000, event()), 0..30)
    ) {
        let mut cluster = SimulatedCluster::start(LAYOUT, seed);
        cluster.run_for(10_000);
        for (elapsed, event) in events {
            cluster.run_for(elapsed);
            cluster.apply(event);
        }
        for _ in 0..40 {
            cluster.run_for(5000);
            cluster.apply(Event::CommitChange);
        }
        cluster.run_for(5000);
        for head in cluster.heads().filter(|head| cluster.can_reach_voter(*head)) {
            let age = cluster.age(head);
            prop_assert!(age.is_some_and(|age| age <= MAX_UPDATE_AGE_MS), "{}", cluster.describe(head));
            prop_assert_eq!(cluster.version(head), cluster.committed_version(), "{}", cluster.describe(head));
        }
    }
}

#[test]
fn with_relays_every_head_follows_one_of_its_region_and_serves_no_followers() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::start(LAYOUT, seed);
        cluster.run_for(90_000);
        for head in cluster.heads() {
            assert!(cluster.follows_relay_of_its_region(head), "{}", cluster.describe(head));
            assert_eq!(cluster.followers(head), 0, "{}", cluster.describe(head));
        }
    }
}

#[test]
fn without_relays_heads_form_a_tree() {
    let layout = Layout { relays_per_region: 0, heads_per_region: 40, ..LAYOUT };
    let mut cluster = SimulatedCluster::start(layout, 7);
    cluster.run_for(30_000);
    cluster.apply(Event::CommitChange);
    cluster.run_for(5000);
    for head in cluster.heads() {
        assert_eq!(cluster.version(head), cluster.committed_version(), "{}", cluster.describe(head));
    }
    assert!(cluster.heads().any(|head| cluster.followers(head) > 0));
}

#[test]
fn heads_of_a_partitioned_region_stay_with_their_relay_and_catch_up_soon_after() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::start(LAYOUT, seed);
        cluster.run_for(60_000);
        let upstreams = |cluster: &SimulatedCluster| -> Vec<Option<String>> {
            cluster.heads_of(1).map(|head| cluster.upstream(head)).collect()
        };
        let before = upstreams(&cluster);
        cluster.apply(Event::Partition(1));
        cluster.run_for(1000);
        cluster.apply(Event::CommitChange);
        let upstream_changes = cluster.upstream_changes();
        cluster.run_for(120_000);
        assert_eq!(upstreams(&cluster), before, "seed {seed}");
        assert_eq!(
            cluster.upstream_changes(),
            upstream_changes,
            "seed {seed}: heads moved during the partition"
        );
        for head in cluster.heads_of(1) {
            assert!(cluster.age(head).is_some_and(|age| age > 100_000), "{}", cluster.describe(head));
        }
        cluster.apply(Event::Heal(1));
        cluster.run_for(7000);
        for head in cluster.heads_of(1) {
            assert_eq!(cluster.version(head), cluster.committed_version(), "{}", cluster.describe(head));
        }
    }
}

#[test]
fn a_change_reaches_the_heads_of_a_failed_or_slow_relay_within_seven_seconds() {
    for seed in 0..10 {
        for event in [Event::KillRelay(0), Event::SlowDown(0)] {
            let mut cluster = SimulatedCluster::start(LAYOUT, seed);
            cluster.run_for(60_000);
            cluster.apply(event);
            cluster.apply(Event::CommitChange);
            cluster.run_for(7000);
            for head in cluster.heads() {
                assert_eq!(
                    cluster.version(head),
                    cluster.committed_version(),
                    "seed {seed}: {}",
                    cluster.describe(head)
                );
            }
        }
    }
}
