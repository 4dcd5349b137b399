//! A client of a simulated cluster: it makes changes and reads at any head that is up.

use super::auditor::Auditor;
use super::heads::SimulatedHeads;
use super::seeded_random::SeededRandom;
use sedgerun_cluster::node::NodeClient;
use sedgerun_replication::state::{Change, ChangeOutcome, Command};
use sedgerun_replication::view::ExportFields;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// How often a change is sent, to different heads and with the same key.
const CHANGE_ATTEMPTS: usize = 4;
/// Tenants that the changes are spread over.
const TENANTS: u64 = 4;

/// A client of one run.
pub struct SimulatedClient {
    /// Its number.
    pub number: u64,
    /// The heads.
    pub heads: Rc<RefCell<SimulatedHeads>>,
    /// Who is shown what it was acknowledged and what it has read.
    pub auditor: Rc<RefCell<Auditor>>,
    /// Its random numbers.
    pub random: SeededRandom,
    /// Injected: it reads whatever a head has.
    pub reads_stale: bool,
}

impl SimulatedClient {
    /// Makes changes and reads until it is dropped.
    pub async fn run(mut self) {
        for change in 0.. {
            tokio::time::sleep(Duration::from_millis(5 + self.random.below(60))).await;
            let Some(node) = self.heads.borrow().any_client(&mut self.random) else { continue };
            if self.random.below(3) == 0 {
                self.read(&node).await;
            } else {
                self.change(change, node).await;
            }
        }
    }

    async fn read(&self, node: &NodeClient) {
        let (newest, exports) = self.auditor.borrow().acknowledged_now();
        let seen = if self.reads_stale { Ok(node.view()) } else { node.read_latest().await };
        match seen {
            Ok(view) => self.auditor.borrow_mut().settled_read(newest, exports, &view),
            Err(_) => self.auditor.borrow_mut().rejected += 1,
        }
    }

    /// Makes one change; where the answer is lost, with the same key at another head.
    async fn change(&mut self, number: u64, node: NodeClient) {
        let tenant = format!("t{}", self.random.below(TENANTS));
        let export = format!("c{}n{number}", self.number);
        let fields = ExportFields::from([("shard".to_owned(), "3".to_owned())]);
        let command = Command::PutExport { tenant, export: export.clone(), fields };
        let change = Change { key: export.clone(), expected_version: None, command };
        let mut node = Some(node);
        for _ in 0..CHANGE_ATTEMPTS {
            let Some(at) = node.take() else { break };
            match at.change(change.clone()).await {
                Ok(ChangeOutcome::Done { version, .. }) => {
                    return self.auditor.borrow_mut().acknowledge(&export, version);
                }
                Ok(other) => return self.auditor.borrow_mut().broke(format!("{export}: {other:?}")),
                Err(_) => self.auditor.borrow_mut().rejected += 1,
            }
            tokio::time::sleep(Duration::from_millis(20 + self.random.below(200))).await;
            node = self.heads.borrow().any_client(&mut self.random);
        }
    }
}
