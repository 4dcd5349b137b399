//! The role of a member: whether it votes or leads, and which other heads do.

use super::Member;
use super::start::ELECTION_TIMEOUTS;
use crate::environment::now;
use openraft::ServerState;
use sedgerun_replication::follow::{Peer, Voters};
use sedgerun_replication::store::StoreId;
use std::sync::atomic::Ordering;

impl Member {
    /// The number of this head's store.
    pub fn raft_id(&self) -> StoreId {
        self.raft.metrics().borrow().id
    }

    /// Whether this head votes, as far as it knows.
    pub fn votes(&self) -> bool {
        let metrics = self.raft.metrics().borrow().clone();
        let is_voter = metrics.membership_config.membership().voter_ids().any(|voter| voter == metrics.id);
        // A voter whose disk has failed no longer stores anything or takes part in the consensus: it follows.
        is_voter && !self.is_removed.load(Ordering::SeqCst) && metrics.running_state.is_ok()
    }

    /// Whether it leads, with recent answers of a majority.
    pub fn leads(&self) -> bool {
        let metrics = self.raft.metrics().borrow().clone();
        let has_quorum =
            metrics.millis_since_quorum_ack.is_some_and(|since| since < ELECTION_TIMEOUTS.leader_timeout_ms);
        metrics.state == ServerState::Leader && has_quorum
    }

    /// The voters, as this head knows them from the log or from its upstream.
    pub fn voters(&self) -> Voters {
        let membership = self.state_machine.membership();
        let by_store = membership.membership().nodes().map(|(store, voter)| {
            let (head, address) = (voter.head.clone(), voter.address.clone());
            (*store, Peer { head, address })
        });
        let from_log =
            Voters { log_index: membership.log_id().map_or(0, |at| at.index), by_store: by_store.collect() };
        let from_upstream = self.follower().voters.clone();
        // The first voters are committed at index 0, which is also the index of a follower's own empty membership.
        let is_newer = from_upstream.log_index > from_log.log_index || from_log.by_store.is_empty();
        if is_newer { from_upstream } else { from_log }
    }

    /// The leader, as far as this head knows; `None` if that is itself, or unknown.
    pub fn leader(&self) -> Option<Peer> {
        if !self.votes() {
            return self.follower().leader();
        }
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.filter(|leader| *leader != metrics.id)?;
        let voter = metrics.membership_config.membership().get_node(&leader)?;
        Some(Peer { head: voter.head.clone(), address: voter.address.clone() })
    }

    /// The heads over which updates come to this one, itself last, and how old its state may be, in milliseconds.
    pub fn path_and_age(&self) -> (Vec<String>, Option<u64>) {
        if self.votes() {
            let silence = if self.leads() { 0 } else { self.election().time_since_heartbeat(now()) };
            return (vec![self.links.own().head], Some(silence));
        }
        let follower = self.follower();
        (follower.path(), follower.age(now()))
    }
}
