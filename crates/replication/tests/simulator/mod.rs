//! A simulated cluster in virtual time: the followers, relays and voters of this crate on a network whose
//! regions can be partitioned.

mod queries;

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

/// Time after which an attempt to connect fails.
const DIAL_TIMEOUT_MS: u64 = 500;
/// Additional response time of a slow relay.
const SLOW_RELAY_DELAY_MS: u64 = 1500;
const MAX_CHUNK_BYTES: usize = 1 << 18;

/// Number of heads by role. All voters are in region 0.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub regions: usize,
    pub voters: usize,
    pub relays_per_region: usize,
    pub heads_per_region: usize,
}

/// An event in a cluster. Relays, heads, voters and regions are numbered from 0.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    KillRelay(usize),
    StartRelay(usize),
    KillHead(usize),
    StartHead(usize),
    KillVoter(usize),
    StartVoter(usize),
    /// The region loses its connections to all other regions.
    Partition(usize),
    /// The partition of the region ends.
    Heal(usize),
    /// The relay responds later than the response timeout.
    SlowDown(usize),
    SpeedUp(usize),
    /// The voters commit a change.
    CommitChange,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeKind {
    Voter,
    Relay,
    Head,
}

struct Node {
    name: String,
    kind: NodeKind,
    region: usize,
    is_up: bool,
    is_slow: bool,
    incarnation: u64,
    follower: Follower,
    followers: Followers,
    registry: RelayRegistry,
    view: View,
}

/// A task of a node. Tasks of an earlier incarnation are dropped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    NextStep,
    /// A poll sent at time `at` ends with a response of `upstream`, or times out.
    PollDone {
        at: usize,
        upstream: usize,
    },
    PollFailed,
    Register,
}

/// Time, sequence number, node index, the node's incarnation, and the task.
type ScheduledTask = (u64, u64, usize, u64, Task);

pub struct SimulatedCluster {
    layout: Layout,
    now: u64,
    seed: u64,
    sequence: u64,
    upstream_changes: u64,
    nodes: Vec<Node>,
    /// Whether each region is partitioned from all others.
    partitioned: Vec<bool>,
    /// The state that the voters have committed.
    committed: View,
    tasks: BinaryHeap<Reverse<ScheduledTask>>,
    /// The poll in progress of each node, by its index.
    polls: BTreeMap<usize, UpstreamPoll>,
    /// Indexes of the nodes by their names.
    by_name: BTreeMap<String, usize>,
}

fn peer(name: &str) -> Peer {
    Peer { head: name.to_owned(), address: format!("{name}:1") }
}

impl SimulatedCluster {
    /// Starts all nodes at the same time.
    pub fn start(layout: Layout, seed: u64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            layout,
            now: 1000,
            seed,
            sequence: 0,
            upstream_changes: 0,
            nodes: Vec::new(),
            partitioned: vec![false; layout.regions],
            committed: View::default(),
            tasks: BinaryHeap::new(),
            polls: BTreeMap::new(),
            by_name: BTreeMap::new(),
        };
        (0..layout.voters).for_each(|i| cluster.add(NodeKind::Voter, 0, i));
        for region in 0..layout.regions {
            (0..layout.relays_per_region).for_each(|i| cluster.add(NodeKind::Relay, region, i));
        }
        for region in 0..layout.regions {
            (0..layout.heads_per_region).for_each(|i| cluster.add(NodeKind::Head, region, i));
        }
        cluster.apply(Event::CommitChange);
        (0..cluster.nodes.len()).for_each(|node| cluster.start_node(node));
        cluster
    }

    fn add(&mut self, kind: NodeKind, region: usize, number: usize) {
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

    /// Starts a node with its last view, in a new incarnation.
    fn start_node(&mut self, index: usize) {
        let seeds =
            self.nodes.iter().filter(|node| node.kind == NodeKind::Voter).map(|node| peer(&node.name));
        let seeds: Vec<Peer> = seeds.collect();
        self.sequence += 1;
        let seed = self.seed.wrapping_mul(1009).wrapping_add(self.sequence);
        let now = self.now;
        let node = &mut self.nodes[index];
        let (role, capacity) = match node.kind {
            NodeKind::Relay => (FollowerRole::Relay, RELAY_CAPACITY),
            _ => (FollowerRole::Head, MAX_FOLLOWERS),
        };
        node.is_up = true;
        node.incarnation += 1;
        node.follower =
            Follower::new(&node.name, seeds, seed).with_role(role, Some(format!("r{}", node.region)));
        node.followers = Followers::new(role, capacity);
        node.registry = RelayRegistry::default();
        node.registry.set_voting(now, node.kind == NodeKind::Voter);
        if node.kind != NodeKind::Voter {
            self.schedule(index, now, Task::NextStep);
        }
        if self.nodes[index].kind == NodeKind::Relay {
            self.schedule(index, now, Task::Register);
        }
    }

    fn schedule(&mut self, node: usize, at: u64, task: Task) {
        self.sequence += 1;
        self.tasks.push(Reverse((at, self.sequence, node, self.nodes[node].incarnation, task)));
    }

    fn node_index(&self, kind: NodeKind, number: usize) -> usize {
        let all = self.nodes.iter().enumerate().filter(|(_, node)| node.kind == kind);
        all.map(|(index, _)| index).nth(number).expect("a node with this number")
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::KillRelay(i) => self.kill(NodeKind::Relay, i),
            Event::KillHead(i) => self.kill(NodeKind::Head, i),
            Event::KillVoter(i) => self.kill(NodeKind::Voter, i),
            Event::StartRelay(i) => self.restart(NodeKind::Relay, i),
            Event::StartHead(i) => self.restart(NodeKind::Head, i),
            Event::StartVoter(i) => self.restart(NodeKind::Voter, i),
            Event::Partition(region) => self.partitioned[region] = true,
            Event::Heal(region) => self.partitioned[region] = false,
            Event::SlowDown(i) | Event::SpeedUp(i) => {
                let relay = self.node_index(NodeKind::Relay, i);
                self.nodes[relay].is_slow = matches!(event, Event::SlowDown(_));
            }
            Event::CommitChange => {
                let version = self.committed.version + 1;
                let key = ObjectKey::Backend(format!("b{}", version % 50));
                self.committed.put(VersionedObject { version, key, object: Some(Object::Ban) });
            }
        }
    }

    fn kill(&mut self, kind: NodeKind, number: usize) {
        let node = self.node_index(kind, number);
        self.nodes[node].is_up = false;
        self.nodes[node].incarnation += 1;
    }

    fn restart(&mut self, kind: NodeKind, number: usize) {
        let node = self.node_index(kind, number);
        if !self.nodes[node].is_up {
            self.start_node(node);
        }
    }

    pub fn run_for(&mut self, time: u64) {
        let until = self.now + time;
        while self.tasks.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, node, incarnation, task))) = self.tasks.pop() else { break };
            self.now = at;
            if self.nodes[node].incarnation == incarnation {
                self.run(node, task);
                self.check_invariants(node);
            }
        }
        self.now = until;
    }

    fn run(&mut self, node: usize, task: Task) {
        match task {
            Task::NextStep => self.run_next_step(node),
            Task::PollFailed => {
                self.nodes[node].follower.on_failure(self.now);
                self.schedule(node, self.now, Task::NextStep);
            }
            Task::PollDone { at, upstream } => self.finish_poll(node, at, upstream),
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

    fn run_next_step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let serves = node.followers.count(now) > 0;
        match node.follower.next_step(now, &node.view, serves) {
            FollowerStep::WaitUntil(until) => self.schedule(index, until.max(now + 1), Task::NextStep),
            FollowerStep::Poll(poll) => {
                let upstream = self.by_name[&poll.peer.head];
                let wait = poll.poll_timeout;
                self.polls.insert(index, poll);
                if !self.reaches(index, upstream) {
                    let after = if self.nodes[upstream].is_up { DIAL_TIMEOUT_MS } else { 1 };
                    return self.schedule(index, now + after, Task::PollFailed);
                }
                let subscription = self.subscription(index);
                let has_changes = !is_up_to_date(&subscription, self.view_of(upstream).version);
                let at = if has_changes { now + 2 } else { now + wait.max(2) };
                self.schedule(index, at, Task::PollDone { at: now as usize, upstream });
            }
        }
    }

    fn view_of(&self, node: usize) -> &View {
        if self.nodes[node].kind == NodeKind::Voter { &self.committed } else { &self.nodes[node].view }
    }

    fn subscription(&self, index: usize) -> Subscription {
        let node = &self.nodes[index];
        let poll = &self.polls[&index];
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

    fn finish_poll(&mut self, index: usize, polled_at: usize, upstream: usize) {
        let now = self.now;
        let wait = self.polls[&index].poll_timeout;
        let times_out = self.nodes[upstream].is_slow && SLOW_RELAY_DELAY_MS > RESPONSE_TIMEOUT_MS;
        if !self.reaches(index, upstream) || times_out {
            let at = (polled_at as u64 + wait + RESPONSE_TIMEOUT_MS).max(now);
            return self.schedule(index, at, Task::PollFailed);
        }
        let subscription = self.subscription(index);
        let response = self.serve(index, upstream, &subscription);
        let node = &mut self.nodes[index];
        let before = node.follower.upstream().cloned();
        match response {
            Some(response) => drop(node.follower.on_response(now, &mut node.view, response)),
            None => node.follower.on_failure(now),
        }
        let has_moved = node.follower.upstream().cloned() != before;
        self.upstream_changes += u64::from(has_moved && node.kind == NodeKind::Head);
        self.schedule(index, now, Task::NextStep);
    }

    /// The response of node `index` to a poll; `None` if it rejects the request.
    fn serve(
        &mut self,
        follower_index: usize,
        index: usize,
        subscription: &Subscription,
    ) -> Option<SubscribeResponse> {
        let now = self.now;
        let downstream = Downstream {
            peer: peer(&self.nodes[follower_index].name),
            store: follower_index as u64,
            zone: None,
            version: subscription.version,
            incarnation: self.nodes[follower_index].incarnation,
        };
        let role = subscription.role;
        let follower =
            PollingFollower { downstream, role, bypass_relays: subscription.bypass_relays, summary: None };
        let voters = (0..self.layout.voters).map(|voter| (voter as u64, peer(&self.nodes[voter].name)));
        let voters = Voters { log_index: 1, by_store: voters.collect() };
        let committed = self.committed.clone();
        let node = &mut self.nodes[index];
        let directory = node.registry.directory(now).or_else(|| node.follower.directory().cloned());
        let relays_known = directory.as_ref().is_some_and(|directory| !directory.is_empty());
        let is_voter = node.kind == NodeKind::Voter;
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
                let view = if is_voter { &committed } else { &node.view };
                Some(SubscribeResponse::Update(source.update(view, subscription, MAX_CHUNK_BYTES)))
            }
            Admission::RedirectedToRelays => redirected(Vec::new()),
            Admission::Full => redirected(node.followers.peers()),
            Admission::DuplicateName => None,
        }
    }
}
