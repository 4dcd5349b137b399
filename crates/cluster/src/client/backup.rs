//! Backup of the replicated state to a file, and restoring it into a cluster without state.

use super::error::{ClientError, HeadError, HeadErrors};
use super::{HEAD_TIMEOUT, block_on, network, submit_change};
use crate::peer_network::PeerNetwork;
use crate::settings::Settings;
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::state::Command;
use sedgerun_replication::view::{Transfer, VersionedObject, View};
use serde::{Deserialize, Serialize};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;

/// The contents of a backup file. The fields are encoded by position, so their order is part of the file
/// format.
#[derive(Serialize, Deserialize)]
struct Backup {
    fleet: String,
    version: u64,
    objects: Vec<VersionedObject>,
}

/// Writes the replicated state to a file, with all changes that were committed when this was called. Returns
/// a text for the operator.
///
/// # Errors
/// No voter provides the state, or the file cannot be written.
pub fn backup(settings: &Settings, head: &str, file: &Path) -> Result<String, ClientError> {
    let network = network(settings, head);
    let view = block_on(async {
        let mut errors = HeadErrors::default();
        for (name, address) in &settings.voters {
            match download(&network, *address).await {
                Ok(view) => return Ok(view),
                Err(error) => errors.add(name, error),
            }
        }
        Err(ClientError::Download(errors))
    })??;
    let objects = view.objects().collect();
    let backup = Backup { fleet: settings.name.clone(), version: view.version, objects };
    let bytes = record::encode(RecordType::Backup, &backup)?;
    let written = write_file(file, &bytes);
    written.map_err(|source| ClientError::File { file: file.to_owned(), source })?;
    Ok(format!(
        "version {} with {} tenants and {} bans is in {}\n",
        view.version,
        view.tenants.len(),
        view.bans.len(),
        file.display()
    ))
}

/// Restores a backup into a cluster without state. Returns a text for the operator.
///
/// # Errors
/// The file cannot be read, or as of [`submit_change`].
pub fn restore(settings: &Settings, head: &str, file: &Path) -> Result<String, ClientError> {
    let bytes = std::fs::read(file);
    let bytes = bytes.map_err(|source| ClientError::File { file: file.to_owned(), source })?;
    let backup: Backup = record::decode(RecordType::Backup, &bytes)
        .map_err(|source| ClientError::CorruptBackup { file: file.to_owned(), source })?;
    let version = submit_change(settings, head, Command::Restore(backup.objects))?;
    Ok(format!(
        "version {} of fleet {} is in this fleet as version {version}\n",
        backup.version, backup.fleet
    ))
}

/// Downloads the leader's view with all committed changes. Heads that do not lead reject this.
async fn download(network: &PeerNetwork, address: SocketAddr) -> Result<View, HeadError> {
    let latest = match network.request(address, &PeerRequest::LinearizableVersion, HEAD_TIMEOUT).await? {
        PeerResponse::LinearizableVersion(version) => version,
        PeerResponse::Rejected(why) => return Err(HeadError::Rejected(why)),
        _ => return Err(HeadError::UnexpectedResponse),
    };
    let (mut view, mut transfer) = (View::default(), Transfer::default());
    while view.version < latest {
        let (since, first_version) = transfer.next_request(&view);
        let request = PeerRequest::Chunk(since, first_version);
        let PeerResponse::Chunk(chunk) = network.request(address, &request, HEAD_TIMEOUT).await? else {
            return Err(HeadError::UnexpectedResponse);
        };
        transfer.accept(&mut view, chunk)?;
    }
    Ok(view)
}

/// Writes a file under a temporary name and renames it, so that no partial backup has the name of a complete
/// one.
fn write_file(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = file.with_extension("part");
    let mut out = std::fs::File::create(&temporary)?;
    out.write_all(bytes)?;
    out.sync_all()?;
    std::fs::rename(&temporary, file)
}
