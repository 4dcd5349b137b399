//! The client of the `sedgerun fleet ...` commands, which sends requests to the heads of a cluster.
//!
//! The client connects like a head, with the secret of the settings, but without a store. Its functions block
//! until the command is done. This module submits changes and begins a cluster.
//!
//! - `backup`: backup and restore
//! - `status`: the status of all heads, as a table or as JSON
//! - `error`: typed errors

mod backup;
mod error;
mod status;

pub use backup::{backup, restore};
pub use error::{ClientError, HeadError, HeadErrors};
pub use status::status;

use crate::change::new_change;
use crate::environment::{Tcp, random};
use crate::peer_network::PeerNetwork;
use crate::settings::{Settings, own_address};
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::greeting::Greeting;
use sedgerun_replication::state::{ChangeOutcome, Command};
use sedgerun_replication::watermark::{Incarnation, Watermark, Watermarks};
use status::ClusterReport;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a request to one head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Submits a change to one voter after the other until one confirms it; returns the version at which it was
/// committed.
///
/// # Errors
/// The change was rejected, or no voter confirmed it.
pub fn submit_change(settings: &Settings, head: &str, command: Command) -> Result<u64, ClientError> {
    // All attempts have the same idempotency key, so that the change is applied once, whichever voters
    // receive it.
    let key = format!("line {:016x}", random()?);
    let change = new_change(Some(&key), None, command)?;
    let network = network(settings, head);
    block_on(async {
        let mut errors = HeadErrors::default();
        for (name, address) in &settings.voters {
            let request = PeerRequest::SubmitChange(change.clone());
            match network.request(*address, &request, HEAD_TIMEOUT).await {
                Ok(PeerResponse::Changed(outcome)) => return committed_version(outcome),
                Ok(PeerResponse::Rejected(why)) => errors.add(name, HeadError::Rejected(why)),
                Ok(_) => errors.add(name, HeadError::UnexpectedResponse),
                Err(error) => errors.add(name, HeadError::Connection(error)),
            }
        }
        Err(ClientError::NotCommitted(errors))
    })?
}

fn committed_version(outcome: ChangeOutcome) -> Result<u64, ClientError> {
    match outcome {
        ChangeOutcome::Done { version, .. } => Ok(version),
        ChangeOutcome::Missing(why) | ChangeOutcome::Conflict(why) => Err(ClientError::ChangeRejected(why)),
        other => Err(ClientError::UnexpectedOutcome(other)),
    }
}

/// Declares the store of the voter `dead` dead, so that the leader replaces it at once; returns the version
/// at which this was committed.
///
/// # Errors
/// As of [`submit_change`], or no leader responded, or the head does not vote.
pub fn replace_voter(settings: &Settings, head: &str, dead: &str) -> Result<u64, ClientError> {
    let report = ClusterReport::collect(settings, head)?;
    let mut statuses = report.reports().map(|report| &report.status);
    let leader = statuses.find(|status| status.role == "leader").ok_or(ClientError::NoLeader)?;
    let voter = leader.voters.iter().find(|voter| voter.votes && voter.head == dead);
    let store = voter.ok_or_else(|| ClientError::NotAVoter(dead.to_owned()))?.store;
    submit_change(settings, head, Command::DeclareDead(store))
}

/// Begins the cluster at this head with the voters of its settings. Returns a text for the operator.
///
/// # Errors
/// The head rejects the request or cannot be reached.
pub fn begin(settings: &Settings, head: &str) -> Result<String, ClientError> {
    let address = own_address(settings, head);
    let at_head = |source: HeadError| ClientError::Head { head: head.to_owned(), address, source };
    let response = block_on(network(settings, head).request(address, &PeerRequest::Begin, HEAD_TIMEOUT))?;
    match response.map_err(|error| at_head(HeadError::Connection(error)))? {
        PeerResponse::Begun => {
            Ok(format!("fleet {} has begun with {} keepers\n", settings.name, settings.voters.len()))
        }
        PeerResponse::Rejected(why) => Err(ClientError::RequestRejected(why)),
        _ => Err(at_head(HeadError::UnexpectedResponse)),
    }
}

/// Creates the connections of the command line: with the secret of the settings, and without a store.
fn network(settings: &Settings, head: &str) -> PeerNetwork {
    let own = Greeting {
        cluster: settings.name.clone(),
        secret: settings.secret.clone(),
        head: head.to_owned(),
        store: None,
        zone: None,
        address: String::new(),
        incarnation: Incarnation::default(),
        initial_watermark: Watermark::default(),
        origin: None,
    };
    PeerNetwork::new(own, settings.routes(), Watermarks::default(), Arc::new(Tcp))
}

fn block_on<T>(work: impl Future<Output = T>) -> Result<T, ClientError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(ClientError::Runtime)?.block_on(work))
}
