//! The role of a member: whether it votes or leads, and which heads it knows as voters and leader.

use super::Member;
use super::start::ELECTION_TIMEOUTS;
use crate::environment::now;
use openraft::ServerState;
use sedgerun_replication::follow::{Peer, Voters};
use sedgerun_replication::store::StoreId;
use std::sync::atomic::Ordering;

impl Member {
    /// The identifier of this head's store, which is also its Raft node ID.
    pub fn raft_id(&self) -> StoreId {
        self.raft.metrics().borrow().id
    }

    /// Whether this head votes, as far as it knows.
    pub fn votes(&self) -> bool {
        let metrics = self.raft.metrics().borrow().clone();
        let is_voter = metrics.membership_config.membership().voter_ids().any(|voter| voter == metrics.id);
        // After a disk fault the consensus library stops, and the head continues as a follower.
        is_voter && !self.is_removed.load(Ordering::SeqCst) && metrics.running_state.is_ok()
    }

    /// Whether this head leads, with recent responses of a majority of the voters.
    pub fn leads(&self) -> bool {
        let metrics = self.raft.metrics().borrow().clone();
        let has_quorum =
            metrics.millis_since_quorum_ack.is_some_and(|since| since < ELECTION_TIMEOUTS.leader_timeout_ms);
        metrics.state == ServerState::Leader && has_quorum
    }

    /// The voters, as known from the log or from the upstream, whichever is newer.
    pub fn voters(&self) -> Voters {
        let membership = self.state_machine.membership();
        let by_store = membership.membership().nodes().map(|(store, voter)| {
            let (head, address) = (voter.head.clone(), voter.address.clone());
            (*store, Peer { head, address })
        });
        let from_log =
            Voters { log_index: membership.log_id().map_or(0, |at| at.index), by_store: by_store.collect() };
        let from_upstream = self.follower().voters.clone();
        // The first voters are committed at log index 0, which is also the index of an empty membership. So
        // the indexes alone cannot tell that the upstream's voters are newer than an empty membership.
        let is_newer = from_upstream.log_index > from_log.log_index || from_log.by_store.is_empty();
        if is_newer { from_upstream } else { from_log }
    }

    /// The leader that this head knows; `None` if this head itself is the leader, or none is known.
    pub fn leader(&self) -> Option<Peer> {
        if !self.votes() {
            return self.follower().leader();
        }
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.filter(|leader| *leader != metrics.id)?;
        let voter = metrics.membership_config.membership().get_node(&leader)?;
        Some(Peer { head: voter.head.clone(), address: voter.address.clone() })
    }

    /// The heads through which updates reach this head, itself last, and an upper bound on the age of its
    /// state in milliseconds (`None` before the first update).
    pub fn path_and_age(&self) -> (Vec<String>, Option<u64>) {
        if self.votes() {
            let age_ms = if self.leads() { 0 } else { self.election().time_since_heartbeat(now()) };
            return (vec![self.network.own_greeting().head], Some(age_ms));
        }
        let follower = self.follower();
        (follower.path(), follower.age(now()))
    }
}
