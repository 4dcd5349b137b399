//! Recovery of a store after its start, and saving the watermarks of other stores.
//!
//! A store that has just started may be an older copy of its disk
//! ([`watermark`](sedgerun_replication::watermark)). Before it votes or acknowledges entries, it sends its
//! greeting to the other voters, which compare it with the watermark that they have recorded for this store.

use crate::disk::key;
use crate::member::Member;
use crate::types::VoterAddress;
use sedgerun_replication::record::RecordType;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for greeting the other voters after a start.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the voters that were not reached are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which changed watermarks of other stores are saved.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);

impl Member {
    /// Greets the other voters, so that they can reject this store as an older copy of its disk; if none
    /// does, this head may vote. Voters that cannot be reached within `RECOVERY_TIMEOUT` are skipped, because
    /// they may never return.
    pub async fn recover(&self) {
        let mut unreached = self.voters_to_greet();
        let begun = Instant::now();
        while !unreached.is_empty() && begun.elapsed() < RECOVERY_TIMEOUT && !self.network.is_rolled_back() {
            let mut still_unreached = Vec::new();
            for voter in unreached {
                let is_reached = match self.network.route(&voter.head, &voter.address) {
                    Some(to) => self.network.dial(to).await.is_ok(),
                    None => false,
                };
                if !is_reached {
                    still_unreached.push(voter);
                }
            }
            unreached = still_unreached;
            if !unreached.is_empty() {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        if !self.network.is_rolled_back() {
            self.has_recovered.store(true, Ordering::SeqCst);
        }
    }

    /// The other voters that this head knows from its settings and from the log.
    fn voters_to_greet(&self) -> Vec<VoterAddress> {
        let own = self.network.own_greeting();
        let mut others: BTreeMap<String, VoterAddress> = BTreeMap::new();
        // The committed position has no sync of its own. After a kill the store may not know that the
        // membership entry is committed, and would have no voters to greet. So the voters of the settings are
        // greeted as well, once the head belongs to a cluster.
        if own.origin.is_some() {
            let configured = self.settings.voters.iter();
            others.extend(configured.map(|(head, at)| {
                (head.clone(), VoterAddress { head: head.clone(), address: at.to_string(), zone: None })
            }));
        }
        let membership = self.state_machine.membership();
        others.extend(membership.nodes().map(|(_, voter)| (voter.head.clone(), voter.clone())));
        others.remove(&own.head);
        others.into_values().collect()
    }

    /// Saves the watermarks of other stores when they have changed. Never returns.
    pub async fn save_watermarks(&self) {
        let mut saved = self.network.watermarks();
        loop {
            tokio::time::sleep(SAVE_INTERVAL).await;
            let watermarks = self.network.watermarks();
            if watermarks != saved {
                self.disk.put_without_sync(RecordType::Watermarks, key::WATERMARKS, &watermarks).await;
                saved = watermarks;
            }
        }
    }
}
