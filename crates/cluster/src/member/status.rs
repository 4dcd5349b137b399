//! The status of a member, for `fleet status` and the metrics.

use super::Member;
use crate::environment::now;
use crate::types::{HeadStatus, VoterAddress, VoterStatus};
use openraft::{RaftMetrics, ServerState};
use sedgerun_replication::store::StoreId;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

impl Member {
    /// The status of this head.
    pub fn status(&self) -> HeadStatus {
        let metrics = self.raft.metrics().borrow().clone();
        let own = self.network.own_greeting();
        let fault = self.fault(&metrics);
        let (path, age) = self.path_and_age();
        let leads = metrics.state == ServerState::Leader;
        HeadStatus {
            role: self.role_name(fault.is_some(), metrics.state, age).to_owned(),
            leader: if leads { Some(own.head.clone()) } else { self.leader().map(|leader| leader.head) },
            cluster: own.cluster,
            head: own.head,
            store: metrics.id,
            incarnation: own.incarnation.count,
            term: metrics.current_term,
            version: self.state_machine.read(|view| view.version),
            applied_index: metrics.last_applied.map_or(0, |applied| applied.index),
            last_index: metrics.last_log_index.unwrap_or(0),
            voters: self.voter_statuses(&metrics),
            followers: self.followers().subtree(now()),
            path,
            age_ms: age,
            repairs: self.repairs.load(Ordering::Relaxed),
            syncs: self.disk.sync_times.summary(),
            rejected_connections: self.rejected_connections.load(Ordering::Relaxed),
            fault,
        }
    }

    /// The fault that stopped this head from voting, if there was one.
    fn fault(&self, metrics: &RaftMetrics<StoreId, VoterAddress>) -> Option<String> {
        if let Err(fatal) = &metrics.running_state {
            return Some(fatal.to_string());
        }
        self.network.is_rolled_back().then(|| "an older copy of its disk: remove its folder".to_owned())
    }

    fn voter_statuses(&self, metrics: &RaftMetrics<StoreId, VoterAddress>) -> Vec<VoterStatus> {
        let membership = metrics.membership_config.membership();
        let voter_ids: BTreeSet<StoreId> = membership.voter_ids().collect();
        let voters = membership.nodes().map(|(store, voter)| {
            let matched = metrics.replication.as_ref().and_then(|all| all.get(store).copied().flatten());
            let address = self.network.route(&voter.head, &voter.address);
            VoterStatus {
                head: voter.head.clone(),
                store: *store,
                address: address.map_or(voter.address.clone(), |address| address.to_string()),
                zone: voter.zone.clone(),
                votes: voter_ids.contains(store),
                matched_index: matched.map(|matched| matched.index),
            }
        });
        voters.collect()
    }

    /// The name of this head's role in `fleet status`; [`HeadStatus::role`] lists the names.
    fn role_name(&self, is_stopped: bool, state: ServerState, age: Option<u64>) -> &'static str {
        match state {
            _ if is_stopped => "stopped",
            _ if !self.votes() && age.is_some() && self.settings.relay => "relay",
            _ if !self.votes() && age.is_some() => "follower",
            _ if !self.votes() => "new",
            ServerState::Leader => "leader",
            ServerState::Candidate => "candidate",
            _ => "keeper",
        }
    }
}
