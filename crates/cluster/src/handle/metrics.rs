//! Metrics of the cluster for `show-stat`. Operators' tools read them by name.

use super::ClusterHandle;

/// Metric names of the traffic between this head and other heads.
const CLUSTER_TRAFFIC: [&str; 4] =
    ["fleet_bytes_received", "fleet_bytes_sent", "fleet_messages_received", "fleet_messages_sent"];

impl ClusterHandle {
    /// The metrics of this head's node, as pairs of name and value.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        let status = self.member.status();
        let distribution = self.member.distribution();
        let votes = u64::from(self.member.votes());
        let (syncs, longest_sync_us, mean_sync_us) = status.syncs;
        let mut metrics = vec![
            ("fleet_term", status.term),
            ("fleet_is_leader", u64::from(status.role == "leader")),
            ("fleet_is_voter", votes),
            // Deprecated name of `fleet_is_voter`; the next release drops it.
            ("fleet_is_keeper", votes),
            ("fleet_stopped", u64::from(status.role == "stopped")),
            ("fleet_version", status.version),
            ("fleet_age_milliseconds", status.age_ms.unwrap_or(u64::MAX)),
            ("fleet_followers", u64::from(distribution.all_followers)),
            ("fleet_direct_followers", u64::from(distribution.direct_followers)),
            ("fleet_is_relay", u64::from(self.member.settings.relay)),
            ("fleet_relays", distribution.relays.len() as u64),
            ("fleet_syncs", syncs),
            ("fleet_sync_longest_microseconds", longest_sync_us),
            ("fleet_sync_mean_microseconds", mean_sync_us),
            ("fleet_repairs", status.repairs),
            ("fleet_frames_refused", status.rejected_connections),
        ];
        metrics.extend(self.memory_metrics());
        metrics.extend(status.depth().map(|depth| ("fleet_depth", depth)));
        metrics.extend(self.traffic().as_metrics(CLUSTER_TRAFFIC));
        metrics
    }

    /// The memory that the parts of the replicated state take up, in bytes as estimated, and their counts.
    fn memory_metrics(&self) -> [(&'static str, u64); 7] {
        let state = self.member.state_machine.memory();
        let (log_entries, log_bytes) = self.member.log.memory();
        [
            ("fleet_view_bytes", state.view as u64),
            ("fleet_follower_view_bytes", state.follower_view as u64),
            ("fleet_outcomes", state.outcome_count as u64),
            ("fleet_outcome_bytes", state.outcomes as u64),
            ("fleet_snapshot_bytes", state.snapshot as u64),
            ("fleet_log_entries", log_entries as u64),
            ("fleet_log_bytes", log_bytes as u64),
        ]
    }
}
