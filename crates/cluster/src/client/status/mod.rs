//! The status of all heads of a cluster, as a table or as JSON.

mod json;
mod table;

use super::error::{ClientError, HeadError, HeadErrors};
use super::{HEAD_TIMEOUT, block_on, network};
use crate::peer_network::PeerNetwork;
use crate::settings::{Settings, own_address};
use crate::types::{DistributionStatus, HeadStatus, PeerRequest, PeerResponse, VoterStatus};
use futures_util::future::join_all;
use sedgerun_replication::follow::Downstream;
use sedgerun_replication::relay::RelayStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Returns the status of all heads of the cluster, as a table or as JSON.
///
/// # Errors
/// No voter responded.
pub fn status(settings: &Settings, head: &str, as_json: bool) -> Result<String, ClientError> {
    let report = ClusterReport::collect(settings, head)?;
    let fleet = &settings.name;
    Ok(if as_json { format!("{}\n", json::render(fleet, &report)) } else { table::render(fleet, &report) })
}

/// The status that one head reports about itself.
pub(super) struct HeadReport {
    pub(super) status: HeadStatus,
    /// `None` from a head of an earlier version.
    distribution: Option<DistributionStatus>,
}

/// The report of each queried head by name, or why the query failed.
pub(super) struct ClusterReport(Vec<(String, Result<HeadReport, HeadError>)>);

impl ClusterReport {
    /// Queries this head and the voters of the settings, and then further voters that they report.
    ///
    /// # Errors
    /// No head responded.
    pub(super) fn collect(settings: &Settings, head: &str) -> Result<ClusterReport, ClientError> {
        let report = block_on(ClusterReport::collect_from(settings, head))?;
        if report.reports().next().is_some() {
            return Ok(report);
        }
        let mut errors = HeadErrors::default();
        for (name, result) in report.0 {
            if let Err(error) = result {
                errors.add(&name, error);
            }
        }
        Err(ClientError::NoVoterResponded(errors))
    }

    async fn collect_from(settings: &Settings, head: &str) -> ClusterReport {
        let network = network(settings, head);
        let query = async |name: String, address: Option<SocketAddr>| {
            let result = match address {
                None => Err(HeadError::NoAddress),
                Some(address) => report_of(&network, address).await,
            };
            (name, result)
        };
        // This head is queried even if it is not a voter.
        let mut configured = settings.voters.clone();
        configured.entry(head.to_owned()).or_insert_with(|| own_address(settings, head));
        let queries = configured.into_iter().map(|(name, address)| query(name, Some(address)));
        let mut report = ClusterReport(join_all(queries).await);
        let queries = report.unqueried_voters().into_iter().map(|voter| {
            let address = network.route(&voter.head, &voter.address);
            query(voter.head, address)
        });
        report.0.extend(join_all(queries).await);
        report
    }

    /// The voters of the most recent report that have not been queried yet.
    fn unqueried_voters(&self) -> Vec<VoterStatus> {
        let newest = self.reports().max_by_key(|report| (report.status.term, report.status.last_index));
        let known = newest.map(|report| report.status.voters.clone()).unwrap_or_default();
        known.into_iter().filter(|voter| self.0.iter().all(|(name, _)| *name != voter.head)).collect()
    }

    /// The reports of the heads that responded.
    pub(super) fn reports(&self) -> impl Iterator<Item = &HeadReport> {
        self.0.iter().filter_map(|(_, result)| result.as_ref().ok())
    }

    /// The reported followers, each once, without those that responded themselves.
    fn followers(&self) -> Vec<Downstream> {
        let mut followers = BTreeMap::new();
        for report in self.reports() {
            let reported = report.status.followers.iter();
            followers.extend(reported.map(|follower| (follower.peer.head.clone(), follower.clone())));
        }
        for (name, result) in &self.0 {
            if result.is_ok() {
                followers.remove(name);
            }
        }
        followers.into_values().collect()
    }

    /// The reported relays, each once, with the highest reported number of followers.
    fn relays(&self) -> Vec<RelayStatus> {
        let mut relays: BTreeMap<String, RelayStatus> = BTreeMap::new();
        let distributions = self.reports().filter_map(|report| report.distribution.as_ref());
        for reported in distributions.flat_map(|distribution| &distribution.relays) {
            let name = reported.relay.peer.head.clone();
            let known = relays.entry(name).or_insert_with(|| reported.clone());
            known.followers = known.followers.max(reported.followers);
        }
        relays.into_values().collect()
    }

    /// Number of followers that the responding voters count but do not list.
    fn unnamed_followers(&self) -> u32 {
        // The report of a follower is left out: a voter already counts that follower's own followers.
        let voters = self
            .reports()
            .filter(|report| matches!(report.status.role.as_str(), "leader" | "keeper" | "candidate"));
        let counts = voters.filter_map(|report| {
            Some((report.distribution.as_ref()?.all_followers, &report.status.followers))
        });
        counts.map(|(all, named)| all.saturating_sub(named.len() as u32)).sum()
    }
}

async fn report_of(network: &PeerNetwork, address: SocketAddr) -> Result<HeadReport, HeadError> {
    let status = match network.request(address, &PeerRequest::Status, HEAD_TIMEOUT).await? {
        PeerResponse::Status(status) => *status,
        PeerResponse::Rejected(why) => return Err(HeadError::Rejected(why)),
        _ => return Err(HeadError::UnexpectedResponse),
    };
    let distribution = match network.request(address, &PeerRequest::Distribution, HEAD_TIMEOUT).await {
        Ok(PeerResponse::Distribution(distribution)) => Some(*distribution),
        _ => None,
    };
    Ok(HeadReport { status, distribution })
}
