//! A fleet in virtual time: the decisions of all heads, over a network that can be cut by regions.

use sedgerun_replication::follow::{
    Admission, Downstream, Follower, FollowerStep, Followers, MAX_FOLLOWERS, Peer, PollingFollower,
    RESPONSE_TIMEOUT_MS, UpstreamPoll, Voters,
};
use sedgerun_replication::relay::{
    FollowerRole, REGISTRATION_INTERVAL_MS, RELAY_CAPACITY, Relay, RelayRegistry, RelayStatus,
};
use sedgerun_replication::subscribe::{Route, SubscribeResponse, Subscription};
use sedgerun_replication::upstream::{UpdateSource, is_up_to_date, redirect};
use sedgerun_replication::view::{Object, ObjectKey, VersionedObject, View};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

/// Time after which a connection that does not come up has failed.
const DIAL_TIMEOUT_MS: u64 = 500;
/// How late a slow relay answers.
const SLOW_BY_MS: u64 = 1500;
const MAX_CHUNK_BYTES: usize = 1 << 18;

/// How many heads there are, and where. Voters are in region 0.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub regions: usize,
    pub voters: usize,
    pub relays_per_region: usize,
    pub heads_per_region: usize,
}

/// What happens to a fleet; relays, heads, voters and regions are numbered from 0.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    KillRelay(usize),
    StartRelay(usize),
    KillHead(usize),
    StartHead(usize),
    KillVoter(usize),
    StartVoter(usize),
    /// A region loses all others.
    Cut(usize),
    Join(usize),
    Slow(usize),
    Quick(usize),
    /// A change is settled among the voters.
    Change,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Voter,
    Relay,
    Head,
}

struct Node {
    name: String,
    kind: Kind,
    region: usize,
    is_up: bool,
    is_slow: bool,
    incarnation: u64,
    follower: Follower,
    followers: Followers,
    registry: RelayRegistry,
    view: View,
}

/// Something that a node does at a time; those of an earlier incarnation are dropped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Decide,
    Answered { at: usize, polled: usize },
    Failed,
    Register,
}

type Entry = (u64, u64, usize, u64, Task);

pub struct Fleet {
    layout: Layout,
    now: u64,
    seed: u64,
    sequence: u64,
    moves: u64,
    nodes: Vec<Node>,
    cut: Vec<bool>,
    settled: View,
    tasks: BinaryHeap<Reverse<Entry>>,
    polls: BTreeMap<usize, UpstreamPoll>,
    by_name: BTreeMap<String, usize>,
}

fn peer(name: &str) -> Peer {
    Peer { head: name.to_owned(), address: format!("{name}:1") }
}

impl Fleet {
    /// All heads start at once.
    pub fn start(layout: Layout, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            layout,
            now: 1000,
            seed,
            sequence: 0,
            moves: 0,
            nodes: Vec::new(),
            cut: vec![false; layout.regions],
            settled: View::default(),
            tasks: BinaryHeap::new(),
            polls: BTreeMap::new(),
            by_name: BTreeMap::new(),
        };
        (0..layout.voters).for_each(|i| fleet.add(Kind::Voter, 0, i));
        for region in 0..layout.regions {
            (0..layout.relays_per_region).for_each(|i| fleet.add(Kind::Relay, region, i));
        }
        for region in 0..layout.regions {
            (0..layout.heads_per_region).for_each(|i| fleet.add(Kind::Head, region, i));
        }
        fleet.apply(Event::Change);
        (0..fleet.nodes.len()).for_each(|node| fleet.begin(node));
        fleet
    }

    fn add(&mut self, kind: Kind, region: usize, number: usize) {
        let name = format!("{kind:?}-{region}-{number}").to_lowercase();
        self.by_name.insert(name.clone(), self.nodes.len());
        self.nodes.push(Node {
            follower: Follower::new(&name, Vec::new(), 0),
            name,
            kind,
            region,
            is_up: false,
            is_slow: false,
            incarnation: 0,
            followers: Followers::default(),
            registry: RelayRegistry::default(),
            view: View::default(),
        });
    }

    /// Starts a node with what it held.
    fn begin(&mut self, number: usize) {
        let seeds = self.nodes.iter().filter(|node| node.kind == Kind::Voter).map(|node| peer(&node.name));
        let seeds: Vec<Peer> = seeds.collect();
        self.sequence += 1;
        let seed = self.seed.wrapping_mul(1009).wrapping_add(self.sequence);
        let now = self.now;
        let node = &mut self.nodes[number];
        let (role, capacity) = match node.kind {
            Kind::Relay => (FollowerRole::Relay, RELAY_CAPACITY),
            _ => (FollowerRole::Head, MAX_FOLLOWERS),
        };
        node.is_up = true;
        node.incarnation += 1;
        node.follower =
            Follower::new(&node.name, seeds, seed).with_role(role, Some(format!("r{}", node.region)));
        node.followers = Followers::new(role, capacity);
        node.registry = RelayRegistry::default();
        node.registry.set_voting(now, node.kind == Kind::Voter);
        if node.kind != Kind::Voter {
            self.schedule(number, now, Task::Decide);
        }
        if self.nodes[number].kind == Kind::Relay {
            self.schedule(number, now, Task::Register);
        }
    }

    fn schedule(&mut self, node: usize, at: u64, task: Task) {
        self.sequence += 1;
        self.tasks.push(Reverse((at, self.sequence, node, self.nodes[node].incarnation, task)));
    }

    fn numbered(&self, kind: Kind, number: usize) -> usize {
        let all = self.nodes.iter().enumerate().filter(|(_, node)| node.kind == kind);
        all.map(|(place, _)| place).nth(number).expect("a node of this number")
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::KillRelay(i) => self.kill(Kind::Relay, i),
            Event::KillHead(i) => self.kill(Kind::Head, i),
            Event::KillVoter(i) => self.kill(Kind::Voter, i),
            Event::StartRelay(i) => self.restart(Kind::Relay, i),
            Event::StartHead(i) => self.restart(Kind::Head, i),
            Event::StartVoter(i) => self.restart(Kind::Voter, i),
            Event::Cut(region) => self.cut[region] = true,
            Event::Join(region) => self.cut[region] = false,
            Event::Slow(i) | Event::Quick(i) => {
                let relay = self.numbered(Kind::Relay, i);
                self.nodes[relay].is_slow = matches!(event, Event::Slow(_));
            }
            Event::Change => {
                let version = self.settled.version + 1;
                let key = ObjectKey::Backend(format!("b{}", version % 50));
                self.settled.put(VersionedObject { version, key, object: Some(Object::Ban) });
            }
        }
    }

    fn kill(&mut self, kind: Kind, number: usize) {
        let node = self.numbered(kind, number);
        self.nodes[node].is_up = false;
        self.nodes[node].incarnation += 1;
    }

    fn restart(&mut self, kind: Kind, number: usize) {
        let node = self.numbered(kind, number);
        if !self.nodes[node].is_up {
            self.begin(node);
        }
    }

    pub fn run_for(&mut self, time: u64) {
        let until = self.now + time;
        while self.tasks.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, node, incarnation, task))) = self.tasks.pop() else { break };
            self.now = at;
            if self.nodes[node].incarnation == incarnation {
                self.run(node, task);
                self.check(node);
            }
        }
        self.now = until;
    }

    /// What holds after each step.
    fn check(&self, node: usize) {
        let mut path = self.nodes[node].follower.path();
        path.sort();
        let length = path.len();
        path.dedup();
        assert_eq!(path.len(), length, "a ring: {}", self.describe(node));
        let capacity = if self.nodes[node].kind == Kind::Relay { RELAY_CAPACITY } else { MAX_FOLLOWERS };
        let relays = self.layout.regions * self.layout.relays_per_region;
        assert!(self.followers(node) <= capacity + relays, "{}", self.describe(node));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let same_side = from.region == to.region || !(self.cut[from.region] || self.cut[to.region]);
        from.is_up && to.is_up && same_side
    }

    fn run(&mut self, node: usize, task: Task) {
        match task {
            Task::Decide => self.decide(node),
            Task::Failed => {
                self.nodes[node].follower.on_failure(self.now);
                self.schedule(node, self.now, Task::Decide);
            }
            Task::Answered { at, polled } => self.answered(node, at, polled),
            Task::Register => {
                self.register(node);
                self.schedule(node, self.now + REGISTRATION_INTERVAL_MS, Task::Register);
            }
        }
    }

    fn register(&mut self, relay: usize) {
        let own = &self.nodes[relay];
        let status = RelayStatus {
            relay: Relay {
                peer: peer(&own.name),
                region: Some(format!("r{}", own.region)),
                zone: None,
                store: relay as u64,
                incarnation: own.incarnation,
            },
            followers: own.followers.count(self.now) as u32,
        };
        for voter in 0..self.layout.voters {
            if self.reaches(relay, voter) {
                let registered = self.nodes[voter].registry.register(self.now, status.clone());
                registered.expect("a lease");
            }
        }
    }

    fn decide(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let serves = node.followers.count(now) > 0;
        match node.follower.next_step(now, &node.view, serves) {
            FollowerStep::WaitUntil(until) => self.schedule(number, until.max(now + 1), Task::Decide),
            FollowerStep::Poll(poll) => {
                let polled = self.by_name[&poll.peer.head];
                let wait = poll.poll_timeout;
                self.polls.insert(number, poll);
                if !self.reaches(number, polled) {
                    let after = if self.nodes[polled].is_up { DIAL_TIMEOUT_MS } else { 1 };
                    return self.schedule(number, now + after, Task::Failed);
                }
                let subscription = self.subscription(number);
                let news = !is_up_to_date(&subscription, self.held(polled).version);
                let at = if news { now + 2 } else { now + wait.max(2) };
                self.schedule(number, at, Task::Answered { at: now as usize, polled });
            }
        }
    }

    fn held(&self, node: usize) -> &View {
        if self.nodes[node].kind == Kind::Voter { &self.settled } else { &self.nodes[node].view }
    }

    fn subscription(&self, number: usize) -> Subscription {
        let node = &self.nodes[number];
        let poll = &self.polls[&number];
        Subscription {
            role: node.follower.role(),
            region: node.follower.region().map(str::to_owned),
            version: node.view.version,
            since: poll.since,
            first_version: poll.first_version,
            poll_timeout: poll.poll_timeout,
            cached: node.follower.cached_digests(),
            bypass_relays: poll.bypass_relays,
            summary: None,
        }
    }

    fn answered(&mut self, number: usize, asked_at: usize, polled: usize) {
        let now = self.now;
        let wait = self.polls[&number].poll_timeout;
        let late = self.nodes[polled].is_slow && SLOW_BY_MS > RESPONSE_TIMEOUT_MS;
        if !self.reaches(number, polled) || late {
            let at = (asked_at as u64 + wait + RESPONSE_TIMEOUT_MS).max(now);
            return self.schedule(number, at, Task::Failed);
        }
        let subscription = self.subscription(number);
        let reply = self.serve(number, polled, &subscription);
        let node = &mut self.nodes[number];
        let before = node.follower.upstream().cloned();
        match reply {
            Some(reply) => drop(node.follower.on_response(now, &mut node.view, reply)),
            None => node.follower.on_failure(now),
        }
        let has_moved = node.follower.upstream().cloned() != before;
        self.moves += u64::from(has_moved && node.kind == Kind::Head);
        self.schedule(number, now, Task::Decide);
    }

    /// The answer of a head; `None` where it refuses.
    fn serve(
        &mut self,
        asker: usize,
        number: usize,
        subscription: &Subscription,
    ) -> Option<SubscribeResponse> {
        let now = self.now;
        let downstream = Downstream {
            peer: peer(&self.nodes[asker].name),
            store: asker as u64,
            zone: None,
            version: subscription.version,
            incarnation: self.nodes[asker].incarnation,
        };
        let role = subscription.role;
        let follower =
            PollingFollower { downstream, role, bypass_relays: subscription.bypass_relays, summary: None };
        let voters = (0..self.layout.voters).map(|voter| (voter as u64, peer(&self.nodes[voter].name)));
        let voters = Voters { log_index: 1, by_store: voters.collect() };
        let settled = self.settled.clone();
        let node = &mut self.nodes[number];
        let directory = node.registry.directory(now).or_else(|| node.follower.directory().cloned());
        let relays_known = directory.as_ref().is_some_and(|directory| !directory.is_empty());
        let is_voter = node.kind == Kind::Voter;
        let path = if is_voter { vec![node.name.clone()] } else { node.follower.path() };
        let age = if is_voter { Some(0) } else { node.follower.age(now) };
        let source = UpdateSource {
            route: Route { origin: Some(1), path, leader: None, voters },
            age: age.unwrap_or(0),
            directory,
        };
        let redirected = |peers| {
            let redirect = redirect(source.directory.as_ref(), subscription.cached, peers);
            Some(SubscribeResponse::Redirect(redirect))
        };
        match node.followers.admit(now, follower, relays_known) {
            Admission::Admitted => {
                age?;
                let view = if is_voter { &settled } else { &node.view };
                Some(SubscribeResponse::Update(source.update(view, subscription, MAX_CHUNK_BYTES)))
            }
            Admission::RedirectedToRelays => redirected(Vec::new()),
            Admission::Full => redirected(node.followers.peers()),
            Admission::DuplicateName => None,
        }
    }

    pub fn heads(&self) -> impl Iterator<Item = usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.kind == Kind::Head && node.is_up)
            .map(|(number, _)| number)
            .collect::<Vec<usize>>()
            .into_iter()
    }

    pub fn heads_of(&self, region: usize) -> impl Iterator<Item = usize> {
        let nodes: Vec<usize> = self.heads().filter(|head| self.nodes[*head].region == region).collect();
        nodes.into_iter()
    }

    fn voters(&self) -> Range<usize> {
        0..self.layout.voters
    }

    pub fn has_way_to_voter(&self, head: usize) -> bool {
        self.voters().any(|voter| self.reaches(head, voter))
    }

    pub fn age(&self, node: usize) -> Option<u64> {
        self.nodes[node].follower.age(self.now)
    }

    pub fn version(&self, node: usize) -> u64 {
        self.nodes[node].view.version
    }

    pub fn latest(&self) -> u64 {
        self.settled.version
    }

    pub fn upstream(&self, node: usize) -> Option<String> {
        self.nodes[node].follower.upstream().map(|upstream| upstream.head.clone())
    }

    pub fn followers(&self, node: usize) -> usize {
        self.nodes[node].followers.count(self.now)
    }

    /// How often an ordinary head has changed its upstream.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    pub fn follows_relay_of_its_region(&self, node: usize) -> bool {
        let region = self.nodes[node].region;
        self.upstream(node).is_some_and(|upstream| upstream.starts_with(&format!("relay-{region}-")))
    }

    pub fn describe(&self, node: usize) -> String {
        let (own, upstream) = (&self.nodes[node], self.upstream(node));
        format!(
            "at {}: {} holds version {} of {}, age {:?}, path {:?}, upstream {upstream:?} of {:?}, cut {:?}, up {:?}",
            self.now,
            own.name,
            own.view.version,
            self.settled.version,
            self.age(node),
            own.follower.path(),
            own.follower
                .directory()
                .into_iter()
                .flat_map(sedgerun_replication::relay::RelayDirectory::relays)
                .map(|relay| &relay.peer.head)
                .collect::<Vec<_>>(),
            self.cut,
            self.nodes
                .iter()
                .filter(|node| node.is_up && node.kind != Kind::Head)
                .map(|node| &node.name)
                .collect::<Vec<_>>(),
        )
    }
}
