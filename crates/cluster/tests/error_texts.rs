//! Checks the texts of errors that appear in logs, on the command line and at other heads, and that errors
//! keep their sources.

use sedgerun_cluster::client::{ClientError, HeadError};
use sedgerun_cluster::disk::{self, OpenError, StoreError, WriteError};
use sedgerun_cluster::force_recovery::{ForceRecoveryError, force_recovery};
use sedgerun_cluster::settings::{DEFAULT_MEMORY, DEFAULT_SOCKETS, Settings};
use sedgerun_cluster::{AdoptError, BeginError, ClusterHandle, ClusterRequestError, ClusterStartError};
use sedgerun_replication::record::CorruptRecord;
use sedgerun_replication::state::ChangeOutcome;
use sedgerun_replication::view::UpstreamBehind;
use std::collections::BTreeMap;
use std::error::Error;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7);

fn failure() -> io::Error {
    io::Error::other("it is broken")
}

/// A temporary folder, removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("sedgerun-cluster-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings(folder: &Path, listen: SocketAddr) -> Settings {
    Settings {
        name: "fleet".into(),
        secret: "known to the fleet alone".into(),
        listen,
        dir: folder.to_owned(),
        voters: BTreeMap::from([("n0".to_owned(), ADDRESS)]),
        heads: BTreeMap::new(),
        address: None,
        zone: None,
        region: None,
        relay: false,
        sockets: DEFAULT_SOCKETS,
        memory: DEFAULT_MEMORY,
    }
}

#[test]
fn errors_of_a_store_name_the_file_and_the_record() {
    let corrupt = || CorruptRecord::Checksum;
    let faults = [
        (StoreError::CorruptRecord { key: "vote", source: corrupt() }, "record vote: checksum differs"),
        (StoreError::CorruptEntry { index: 7, source: corrupt() }, "log entry 7: checksum differs"),
        (StoreError::MissingIdentity, "record identity is missing although there are log entries"),
        (
            StoreError::MissingSnapshotState,
            "record snapshot state is missing although there is snapshot metadata",
        ),
        (StoreError::SyncFolder(failure()), "it is broken"),
        (StoreError::Thread(failure()), "cannot start the writer's thread: it is broken"),
        (StoreError::Database(redb::Error::Io(failure())), "I/O error: it is broken"),
    ];
    for (source, text) in faults {
        assert_eq!(source.to_string(), text);
        let error = OpenError::Store { file: "/store/fleet.redb".into(), source };
        assert_eq!(error.to_string(), format!("/store/fleet.redb: {text}"));
        assert!(error.source().is_some(), "{text}");
    }
    let folder = OpenError::Folder { folder: "/store".into(), source: failure() };
    assert_eq!(folder.to_string(), "/store: it is broken");
    let source = Arc::new(redb::Error::Io(failure()));
    let write = WriteError::Database { file: "/store/fleet.redb".into(), source };
    assert_eq!(write.to_string(), "/store/fleet.redb: I/O error: it is broken");
    assert!(write.source().is_some());
    assert_eq!(WriteError::WriterEnded.to_string(), "the writer of the store has ended");
}

#[test]
fn the_error_for_a_file_that_is_not_a_store_names_the_file() {
    let folder = Folder::new("no-store");
    let file = folder.path().join("fleet.redb");
    std::fs::write(&file, "not a database, and long enough to be read as one".repeat(100)).expect("a file");
    let error = disk::open(folder.path()).err().expect("no store");
    assert!(error.to_string().starts_with(&format!("{}: ", file.display())), "{error}");
    assert!(error.source().is_some());
}

#[test]
fn the_error_for_an_address_in_use_names_the_address_and_its_setting() {
    let (folder, used) =
        (Folder::new("address"), TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port"));
    let listen = used.local_addr().expect("an address");
    let error = ClusterHandle::start(&settings(folder.path(), listen), "n0").err().expect("in use");
    assert!(error.to_string().starts_with(&format!("fleet.listen: cannot bind {listen}: ")), "{error}");
    assert!(matches!(error, ClusterStartError::Bind { .. }));
    assert_eq!(
        ClusterStartError::Thread(failure()).to_string(),
        "fleet: cannot start the cluster thread: it is broken"
    );
    assert_eq!(
        ClusterStartError::Runtime(failure()).to_string(),
        "fleet: cannot create the runtime of the cluster thread: it is broken"
    );
    assert_eq!(
        ClusterStartError::EndedAtStart.to_string(),
        "fleet: the cluster thread ended during its start"
    );
}

#[test]
fn an_empty_store_is_not_recovered_and_the_error_names_its_folder() {
    let folder = Folder::new("empty");
    let error = force_recovery(&settings(folder.path(), ADDRESS), "n0", None).expect_err("an empty store");
    assert_eq!(error.to_string(), format!("{}: the store is empty", folder.path().display()));
    let error = ForceRecoveryError::NotAccepted { consequences: "Much may be lost.".into(), version: 9 };
    let text = "Much may be lost. To recover: sedgerun fleet recover --lose-changes-after 9";
    assert_eq!(error.to_string(), text);
}

#[test]
fn errors_of_beginning_a_cluster_name_the_voter() {
    let name = || "n1".to_owned();
    let errors = [
        (BeginError::NotAVoter(name()), "n1 is not listed in fleet.voters of its own settings"),
        (
            BeginError::Unreachable { name: name(), address: ADDRESS, source: failure() },
            "voter n1 at 127.0.0.1:7: it is broken",
        ),
        (
            BeginError::WrongHead { address: ADDRESS, found: "n2".into(), name: name() },
            "the head at 127.0.0.1:7 is n2, not n1",
        ),
        (BeginError::NoStore(name()), "voter n1 has no store"),
        (BeginError::InUse(name()), "voter n1 already belongs to another fleet"),
        (BeginError::Adopt(AdoptError::OtherOrigin), "the heads do not belong to the same fleet"),
        (BeginError::Adopt(AdoptError::Write(WriteError::WriterEnded)), "the writer of the store has ended"),
    ];
    for (error, text) in errors {
        assert_eq!(error.to_string(), text);
    }
    assert_eq!(ClusterRequestError("no leader is known".into()).to_string(), "no leader is known");
}

#[test]
fn errors_of_the_command_line_name_the_head_or_the_file() {
    let (head, file) = (|| "n1".to_owned(), || PathBuf::from("/backup"));
    let errors = [
        (ClientError::Runtime(failure()), "cannot create the runtime for connections: it is broken"),
        (ClientError::ChangeRejected("no tenant x".into()), "no tenant x"),
        (
            ClientError::UnexpectedOutcome(ChangeOutcome::Stale(3)),
            "unexpected outcome of the change: Stale(3)",
        ),
        (ClientError::NoLeader, "no leader responded"),
        (ClientError::NotAVoter(head()), "n1 does not vote"),
        (ClientError::File { file: file(), source: failure() }, "/backup: it is broken"),
        (
            ClientError::CorruptBackup { file: file(), source: CorruptRecord::Format(1) },
            "/backup: format 1; this program reads 2",
        ),
        (
            ClientError::Head { head: head(), address: ADDRESS, source: HeadError::UnexpectedResponse },
            "n1 at 127.0.0.1:7: unexpected type of response",
        ),
        (ClientError::RequestRejected("the store is empty".into()), "the store is empty"),
    ];
    for (error, text) in errors {
        assert_eq!(error.to_string(), text);
    }
    assert_eq!(HeadError::NoAddress.to_string(), "its address is malformed");
    assert_eq!(HeadError::Connection(failure()).to_string(), "it is broken");
    assert_eq!(
        HeadError::Behind(UpstreamBehind).to_string(),
        "its version is older than one already received"
    );
}
