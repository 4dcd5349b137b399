//! Queries and invariants of a simulated cluster.

use super::{NodeKind, SimulatedCluster};
use sedgerun_replication::follow::MAX_FOLLOWERS;
use sedgerun_replication::relay::{RELAY_CAPACITY, RelayDirectory};
use std::ops::Range;

impl SimulatedCluster {
    /// Checks after each task that no node follows itself and that no node serves more than its capacity.
    pub(super) fn check_invariants(&self, node: usize) {
        let mut path = self.nodes[node].follower.path();
        path.sort();
        let length = path.len();
        path.dedup();
        assert_eq!(path.len(), length, "a cycle: {}", self.describe(node));
        let capacity = if self.nodes[node].kind == NodeKind::Relay { RELAY_CAPACITY } else { MAX_FOLLOWERS };
        let relays = self.layout.regions * self.layout.relays_per_region;
        assert!(self.followers(node) <= capacity + relays, "{}", self.describe(node));
    }

    /// Whether two nodes are up and can connect to each other.
    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let is_connected =
            from.region == to.region || !(self.partitioned[from.region] || self.partitioned[to.region]);
        from.is_up && to.is_up && is_connected
    }

    /// Indexes of the ordinary heads that are up.
    pub fn heads(&self) -> impl Iterator<Item = usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.kind == NodeKind::Head && node.is_up)
            .map(|(index, _)| index)
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

    pub fn can_reach_voter(&self, head: usize) -> bool {
        self.voters().any(|voter| self.reaches(head, voter))
    }

    pub fn age(&self, node: usize) -> Option<u64> {
        self.nodes[node].follower.age(self.now)
    }

    pub fn version(&self, node: usize) -> u64 {
        self.nodes[node].view.version
    }

    pub fn committed_version(&self) -> u64 {
        self.committed.version
    }

    pub fn upstream(&self, node: usize) -> Option<String> {
        self.nodes[node].follower.upstream().map(|upstream| upstream.head.clone())
    }

    pub fn followers(&self, node: usize) -> usize {
        self.nodes[node].followers.count(self.now)
    }

    /// How often ordinary heads have changed their upstream.
    pub fn upstream_changes(&self) -> u64 {
        self.upstream_changes
    }

    pub fn follows_relay_of_its_region(&self, node: usize) -> bool {
        let region = self.nodes[node].region;
        self.upstream(node).is_some_and(|upstream| upstream.starts_with(&format!("relay-{region}-")))
    }

    pub fn describe(&self, node: usize) -> String {
        let (own, upstream) = (&self.nodes[node], self.upstream(node));
        format!(
            "at {}: {} has version {} of {}, age {:?}, path {:?}, upstream {upstream:?} of {:?}, partitioned {:?}, up {:?}",
            self.now,
            own.name,
            own.view.version,
            self.committed.version,
            self.age(node),
            own.follower.path(),
            own.follower
                .directory()
                .into_iter()
                .flat_map(RelayDirectory::relays)
                .map(|relay| &relay.peer.head)
                .collect::<Vec<_>>(),
            self.partitioned,
            self.nodes
                .iter()
                .filter(|node| node.is_up && node.kind != NodeKind::Head)
                .map(|node| &node.name)
                .collect::<Vec<_>>(),
        )
    }
}
