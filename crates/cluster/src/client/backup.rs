//! Backup of the whole state to a file, and its restoration into a cluster without state.

use super::error::{ClientError, HeadError, HeadErrors};
use super::{HEAD_TIMEOUT, block_on, links, submit_change};
use crate::link::Links;
use crate::settings::Settings;
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::state::Command;
use sedgerun_replication::view::{Transfer, VersionedObject, View};
use serde::{Deserialize, Serialize};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;

/// The contents of a backup. The order of its fields is part of the file's format.
#[derive(Serialize, Deserialize)]
struct Backup {
    fleet: String,
    version: u64,
    objects: Vec<VersionedObject>,
}

/// Writes the whole state to a file, with all that was committed when this was called.
///
/// # Errors
/// What each voter answered, or why the file cannot be written.
pub fn backup(settings: &Settings, head: &str, file: &Path) -> Result<String, ClientError> {
    let links = links(settings, head);
    let view = block_on(async {
        let mut errors = HeadErrors::default();
        for (name, address) in &settings.voters {
            match download(&links, *address).await {
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

/// Restores a backup into a cluster without state.
///
/// # Errors
/// Why the file cannot be read, or as of [`submit_change`].
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

/// Downloads the view of the leader, with all that is committed; an error from heads that do not lead.
async fn download(links: &Links, address: SocketAddr) -> Result<View, HeadError> {
    let latest = match links.request(address, &PeerRequest::LinearizableVersion, HEAD_TIMEOUT).await? {
        PeerResponse::LinearizableVersion(version) => version,
        PeerResponse::Rejected(why) => return Err(HeadError::Rejected(why)),
        _ => return Err(HeadError::UnexpectedResponse),
    };
    let (mut view, mut transfer) = (View::default(), Transfer::default());
    while view.version < latest {
        let (since, first_version) = transfer.next_request(&view);
        let request = PeerRequest::Chunk(since, first_version);
        let PeerResponse::Chunk(chunk) = links.request(address, &request, HEAD_TIMEOUT).await? else {
            return Err(HeadError::UnexpectedResponse);
        };
        transfer.accept(&mut view, chunk)?;
    }
    Ok(view)
}

/// Writes a file under a temporary name first. Guards against half a backup under the name of a complete one.
fn write_file(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = file.with_extension("part");
    let mut out = std::fs::File::create(&temporary)?;
    out.write_all(bytes)?;
    out.sync_all()?;
    std::fs::rename(&temporary, file)
}
