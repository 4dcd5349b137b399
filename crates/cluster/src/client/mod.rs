//! `sedgerun fleet ...`: what the command line requests from the heads of a cluster.
//!
//! It connects like a head, with the secret of the settings and without a store. Each function blocks until it is done,
//! and returns text for people.
//!
//! - here: changes, and beginning a cluster
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
use crate::link::Links;
use crate::settings::{Settings, own_address};
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::greeting::Greeting;
use sedgerun_replication::state::{ChangeOutcome, Command};
use sedgerun_replication::watermark::{Incarnation, Watermark, Watermarks};
use status::ClusterReport;
use std::sync::Arc;
use std::time::Duration;

/// Time for the response of one head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes a change through whichever voter answers; returns the version at which it was committed.
///
/// # Errors
/// Why it was rejected, or what each voter answered.
pub fn submit_change(settings: &Settings, head: &str, command: Command) -> Result<u64, ClientError> {
    // One key for all attempts: however many voters are called, it happens once.
    let key = format!("line {:016x}", random()?);
    let change = new_change(Some(&key), None, command)?;
    let links = links(settings, head);
    block_on(async {
        let mut errors = HeadErrors::default();
        for (name, address) in &settings.voters {
            let request = PeerRequest::SubmitChange(change.clone());
            match links.request(*address, &request, HEAD_TIMEOUT).await {
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

/// Declares the store dead that votes under a head's name, so that it is replaced at once; returns the version at which
/// that was committed.
///
/// # Errors
/// As of [`submit_change`], or the head does not vote.
pub fn replace_voter(settings: &Settings, head: &str, dead: &str) -> Result<u64, ClientError> {
    let report = ClusterReport::collect(settings, head)?;
    let mut statuses = report.answered().map(|report| &report.status);
    let leader = statuses.find(|status| status.role == "leader").ok_or(ClientError::NoLeader)?;
    let voter = leader.voters.iter().find(|voter| voter.votes && voter.head == dead);
    let store = voter.ok_or_else(|| ClientError::NotAVoter(dead.to_owned()))?.store;
    submit_change(settings, head, Command::DeclareDead(store))
}

/// Begins the cluster at this head with the voters of its settings.
///
/// # Errors
/// Why the head refuses, or cannot be reached.
pub fn begin(settings: &Settings, head: &str) -> Result<String, ClientError> {
    let address = own_address(settings, head);
    let at_head = |source: HeadError| ClientError::Head { head: head.to_owned(), address, source };
    let response = block_on(links(settings, head).request(address, &PeerRequest::Begin, HEAD_TIMEOUT))?;
    match response.map_err(|error| at_head(HeadError::Connection(error)))? {
        PeerResponse::Begun => {
            Ok(format!("fleet {} has begun with {} keepers\n", settings.name, settings.voters.len()))
        }
        PeerResponse::Rejected(why) => Err(ClientError::RequestRejected(why)),
        _ => Err(at_head(HeadError::UnexpectedResponse)),
    }
}

/// Links of the command line: with the secret of the settings, and without a store.
fn links(settings: &Settings, head: &str) -> Links {
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
    Links::new(own, settings.routes(), Watermarks::default(), Arc::new(Tcp))
}

fn block_on<T>(work: impl Future<Output = T>) -> Result<T, ClientError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(ClientError::Runtime)?.block_on(work))
}
