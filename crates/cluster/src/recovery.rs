//! Recovery of a store after its start, and the watermarks that this head saves of other stores.
//!
//! A store that has just started may be an older copy of its disk ([`watermark`](sedgerun_replication::watermark)). It
//! neither votes nor acknowledges anything before the other voters have been asked for what they remember of it.

use crate::disk::key;
use crate::member::Member;
use crate::types::VoterAddress;
use sedgerun_replication::record::RecordType;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a store which has just started waits for the greetings of the other voters.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between attempts at voters that were not reached.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// How often the watermarks of other stores are saved, if they have changed.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);

impl Member {
    /// Greets the other voters, as a store that has just started, so that they can reject an older copy of its disk; then
    /// it votes. A voter that cannot be reached is waited for up to `RECOVERY_TIMEOUT` and no longer: it may never
    /// return.
    pub async fn recover(&self) {
        let mut unreached = self.voters_to_greet();
        let begun = Instant::now();
        while !unreached.is_empty() && begun.elapsed() < RECOVERY_TIMEOUT && !self.links.is_rolled_back() {
            let mut still_unreached = Vec::new();
            for voter in unreached {
                let is_reached = match self.links.route(&voter.head, &voter.address) {
                    Some(to) => self.links.dial(to).await.is_ok(),
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
        if !self.links.is_rolled_back() {
            self.has_recovered.store(true, Ordering::SeqCst);
        }
    }

    /// The other voters, as this head knows them from its settings and from the log.
    fn voters_to_greet(&self) -> Vec<VoterAddress> {
        let own = self.links.own();
        let mut others: BTreeMap<String, VoterAddress> = BTreeMap::new();
        // Guards against a store that was killed before it saved the voters (that record has no sync of its own): it
        // would know nobody to greet. The voters of the settings are greeted too, once the cluster has begun.
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

    /// Saves the watermarks of other stores as they change, for as long as the future is polled.
    pub async fn save_watermarks(&self) {
        let mut saved = self.links.watermarks();
        loop {
            tokio::time::sleep(SAVE_INTERVAL).await;
            let watermarks = self.links.watermarks();
            if watermarks != saved {
                self.disk.put_without_sync(RecordType::Watermarks, key::WATERMARKS, &watermarks).await;
                saved = watermarks;
            }
        }
    }
}
