//! The status of all heads of a cluster, as a table or as JSON.

mod json;
mod table;

use super::error::{ClientError, HeadError, HeadErrors};
use super::{HEAD_TIMEOUT, block_on, links};
use crate::link::Links;
use crate::settings::{Settings, own_address};
use crate::types::{DistributionStatus, HeadStatus, PeerRequest, PeerResponse, VoterStatus};
use futures_util::future::join_all;
use sedgerun_replication::follow::Downstream;
use sedgerun_replication::relay::RelayStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The status of all heads of the cluster, as a table or as JSON.
///
/// # Errors
/// No voter answers.
pub fn status(settings: &Settings, head: &str, as_json: bool) -> Result<String, ClientError> {
    let report = ClusterReport::collect(settings, head)?;
    let fleet = &settings.name;
    Ok(if as_json { format!("{}\n", json::render(fleet, &report)) } else { table::render(fleet, &report) })
}

/// What one head reports about itself.
pub(super) struct HeadReport {
    pub(super) status: HeadStatus,
    /// `None` from a head of an earlier version.
    distribution: Option<DistributionStatus>,
}

/// The report of each head that was called, or why there is none, by name.
pub(super) struct ClusterReport(Vec<(String, Result<HeadReport, HeadError>)>);

impl ClusterReport {
    /// Calls the voters of the settings, and then those that have taken their places, all at once.
    ///
    /// # Errors
    /// None of them answers.
    pub(super) fn collect(settings: &Settings, head: &str) -> Result<ClusterReport, ClientError> {
        let report = block_on(ClusterReport::collect_from(settings, head))?;
        if report.answered().next().is_some() {
            return Ok(report);
        }
        let mut errors = HeadErrors::default();
        for (name, result) in report.0 {
            if let Err(error) = result {
                errors.add(&name, error);
            }
        }
        Err(ClientError::NoVoterAnswers(errors))
    }

    async fn collect_from(settings: &Settings, head: &str) -> ClusterReport {
        let links = links(settings, head);
        let call = async |name: String, address: Option<SocketAddr>| {
            let result = match address {
                None => Err(HeadError::NoAddress),
                Some(address) => report_of(&links, address).await,
            };
            (name, result)
        };
        // The head whose settings these are is called, too, as it sees itself.
        let mut configured = settings.voters.clone();
        configured.entry(head.to_owned()).or_insert_with(|| own_address(settings, head));
        let calls = configured.into_iter().map(|(name, address)| call(name, Some(address)));
        let mut report = ClusterReport(join_all(calls).await);
        let calls = report.voters_not_called().into_iter().map(|voter| {
            let address = links.route(&voter.head, &voter.address);
            call(voter.head, address)
        });
        report.0.extend(join_all(calls).await);
        report
    }

    /// Voters that the most recent report names, and that were not called yet.
    fn voters_not_called(&self) -> Vec<VoterStatus> {
        let newest = self.answered().max_by_key(|report| (report.status.term, report.status.last_index));
        let known = newest.map(|report| report.status.voters.clone()).unwrap_or_default();
        known.into_iter().filter(|voter| self.0.iter().all(|(name, _)| *name != voter.head)).collect()
    }

    /// The reports of the heads that answered.
    pub(super) fn answered(&self) -> impl Iterator<Item = &HeadReport> {
        self.0.iter().filter_map(|(_, result)| result.as_ref().ok())
    }

    /// The followers, as the voters report them, each once and without those that answered themselves.
    fn followers(&self) -> Vec<Downstream> {
        let mut followers = BTreeMap::new();
        for report in self.answered() {
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

    /// The relays, as the voters report them, each once and with the greatest load that one reports.
    fn relays(&self) -> Vec<RelayStatus> {
        let mut relays: BTreeMap<String, RelayStatus> = BTreeMap::new();
        let distributions = self.answered().filter_map(|report| report.distribution.as_ref());
        for reported in distributions.flat_map(|distribution| &distribution.relays) {
            let name = reported.relay.peer.head.clone();
            let known = relays.entry(name).or_insert_with(|| reported.clone());
            known.followers = known.followers.max(reported.followers);
        }
        relays.into_values().collect()
    }

    /// How many followers the voters that answer know of but do not name.
    fn unnamed_followers(&self) -> u32 {
        // The head whose settings are used may be a follower; its own followers are behind a voter already.
        let voters = self
            .answered()
            .filter(|report| matches!(report.status.role.as_str(), "leader" | "keeper" | "candidate"));
        let counts = voters.filter_map(|report| {
            Some((report.distribution.as_ref()?.all_followers, &report.status.followers))
        });
        counts.map(|(all, named)| all.saturating_sub(named.len() as u32)).sum()
    }
}

async fn report_of(links: &Links, address: SocketAddr) -> Result<HeadReport, HeadError> {
    let status = match links.request(address, &PeerRequest::Status, HEAD_TIMEOUT).await? {
        PeerResponse::Status(status) => *status,
        PeerResponse::Rejected(why) => return Err(HeadError::Rejected(why)),
        _ => return Err(HeadError::UnexpectedResponse),
    };
    let distribution = match links.request(address, &PeerRequest::Distribution, HEAD_TIMEOUT).await {
        Ok(PeerResponse::Distribution(distribution)) => Some(*distribution),
        _ => None,
    };
    Ok(HeadReport { status, distribution })
}
