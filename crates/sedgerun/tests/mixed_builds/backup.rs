//! `fleet backup` by one build is restored by the other.

use crate::builds::Direction;
use crate::cluster::{
    Contents, assert_all_hold, ban, create_export, fleet_command, fleet_output, lift_ban, started,
    tenant_document,
};
use std::path::PathBuf;

const EXPORTS: [&str; 3] = ["press", "proofs", "maps"];

in_both_directions!(a_backup_is_restored_into_an_empty_cluster, a_corrupt_backup_is_rejected);

/// A backup file of one test, removed with it.
struct BackupFile(PathBuf);

impl BackupFile {
    fn new(test: &str, direction: Direction) -> BackupFile {
        let name = format!("sedgerun-backup-{}-{test}-{:?}", std::process::id(), direction.writer);
        BackupFile(std::env::temp_dir().join(name))
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for BackupFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Two bans were made and one was lifted, so the version is above the number of objects.
fn assert_restored(direction: Direction, file: &BackupFile) {
    let source = started(3, &[direction.writer; 3]);
    EXPORTS.iter().for_each(|name| drop(create_export(&source, 0, name)));
    ["s-7", "s-8"].iter().for_each(|backend| ban(&source, 1, backend));
    lift_ban(&source, 2, "s-7");
    let expected = Contents::of(&EXPORTS, &["s-8"]);
    assert_all_hold(&source, &[0, 1, 2], &expected);
    let (document, version) = (tenant_document(&source, 0), source.own(0)["version"].clone());
    let output = fleet_output(&source, direction.writer, 0, &["backup", file.path()]);
    let summary = format!("version {version} with 1 tenants and 1 bans is in {}\n", file.path());
    assert_eq!(output, summary);
    drop(source);

    let target = started(3, &[direction.reader; 3]);
    let output = fleet_output(&target, direction.reader, 1, &["restore", file.path()]);
    let summary = format!("version {version} of fleet rig is in this fleet as version ");
    assert!(output.starts_with(&summary), "{output}");
    assert_all_hold(&target, &[0, 1, 2], &expected);
    assert_eq!(tenant_document(&target, 2)["exports"], document["exports"]);
    // The cluster goes on from there, and takes no second backup.
    create_export(&target, 2, "afterwards");
    let exports = [&EXPORTS[..], &["afterwards"]].concat();
    assert_all_hold(&target, &[0, 1, 2], &Contents::of(&exports, &["s-8"]));
    let again = fleet_command(&target, direction.reader, 0, &["restore", file.path()]);
    assert_eq!(again.status.code(), Some(2), "{again:?}");
}

fn a_backup_is_restored_into_an_empty_cluster(direction: Direction) {
    assert_restored(direction, &BackupFile::new("restored", direction));
}

/// One bit of the other build's file is changed at a time.
fn a_corrupt_backup_is_rejected(direction: Direction) {
    let file = BackupFile::new("corrupt", direction);
    let source = started(1, &[direction.writer]);
    create_export(&source, 0, "press");
    fleet_output(&source, direction.writer, 0, &["backup", file.path()]);
    drop(source);
    let bytes = std::fs::read(&file.0).expect("a backup");
    let target = started(1, &[direction.reader]);
    for at in [0, bytes.len() / 2, bytes.len() - 1] {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 1;
        std::fs::write(&file.0, corrupt).expect("a backup");
        let output = fleet_command(&target, direction.reader, 0, &["restore", file.path()]);
        assert_eq!(output.status.code(), Some(2), "byte {at}: {output:?}");
    }
    assert_eq!(target.own(0)["version"], 0, "{:#}", target.own(0));
    std::fs::write(&file.0, bytes).expect("a backup");
    fleet_output(&target, direction.reader, 0, &["restore", file.path()]);
    assert_all_hold(&target, &[0], &Contents::of(&["press"], &[""; 0]));
}
