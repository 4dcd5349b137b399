//! The request ids that the two processes of an upgrade share, in a file of fixed size in `$TMPDIR`.
//!
//! Both processes accept on one socket, so that a client that leaves one may send its request to the other. The file is
//! a table of ids with the time until which each holds, by the monotonic clock of the machine, which both processes
//! read and nobody can set. An id lies in one of the few entries of its bucket.

use rustix::time::{ClockId, clock_gettime};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

/// The file's name in `$TMPDIR`.
const FILE_NAME: &str = "sedgerun-request-ids";
/// Entries of a bucket.
const ENTRIES: usize = 8;
/// Bytes of an entry: an id, and the time until which it holds in milliseconds.
const ENTRY_BYTES: usize = 16;
const BUCKET_BYTES: usize = ENTRIES * ENTRY_BYTES;
/// Buckets of the file, which has 512 KiB.
const BUCKETS: u64 = 4096;

/// One id in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    id: u64,
    /// When the id is free again, in milliseconds of the monotonic clock; 0: the entry was never used.
    expires_at: u64,
}

/// The ids that both processes of an upgrade see.
#[derive(Debug)]
pub struct SharedRequestIds {
    file: File,
}

impl SharedRequestIds {
    /// Opens the file in a folder, and makes it where it is missing.
    ///
    /// # Errors
    /// Errors of the file system.
    pub fn open(folder: &Path) -> io::Result<SharedRequestIds> {
        let mut options = OpenOptions::new();
        let file =
            options.read(true).write(true).create(true).truncate(false).open(folder.join(FILE_NAME))?;
        file.set_len(BUCKETS * BUCKET_BYTES as u64)?;
        Ok(SharedRequestIds { file })
    }

    /// Claims an id for a time; `false` where another process has claimed it. Where the file cannot be read or written,
    /// the id is claimed for this process alone.
    pub fn claim(&self, id: u64, time: Duration) -> bool {
        match self.try_claim(id, time) {
            Ok(is_claimed) => is_claimed,
            Err(error) => {
                tracing::warn!("request ids cannot be shared with the other process of an upgrade: {error}");
                true
            }
        }
    }

    fn try_claim(&self, id: u64, time: Duration) -> io::Result<bool> {
        let now = monotonic_milliseconds();
        let offset = bucket_of(id) * BUCKET_BYTES as u64;
        let mut bucket = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bucket, offset)?;
        let entries = bucket.chunks_exact(ENTRY_BYTES).map(Entry::decode);
        if entries.clone().any(|entry| entry.id == id && entry.expires_at > now) {
            return Ok(false);
        }
        // The entry that is free for the longest, or else the next one to become free.
        let oldest =
            entries.enumerate().min_by_key(|(_, entry)| entry.expires_at).map_or(0, |(index, _)| index);
        let entry = Entry { id, expires_at: now + time.as_millis() as u64 };
        self.file.write_all_at(&entry.encode(), offset + (oldest * ENTRY_BYTES) as u64)?;
        Ok(true)
    }
}

impl Entry {
    fn decode(bytes: &[u8]) -> Entry {
        let number = |bytes: &[u8]| bytes.iter().rev().fold(0, |number, byte| number << 8 | u64::from(*byte));
        Entry { id: number(&bytes[..8]), expires_at: number(&bytes[8..]) }
    }

    fn encode(self) -> [u8; ENTRY_BYTES] {
        let mut bytes = [0; ENTRY_BYTES];
        bytes[..8].copy_from_slice(&self.id.to_le_bytes());
        bytes[8..].copy_from_slice(&self.expires_at.to_le_bytes());
        bytes
    }
}

/// The bucket of an id: ids that follow each other lie in different ones.
fn bucket_of(id: u64) -> u64 {
    // The multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
    id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (u64::BITS - BUCKETS.ilog2())
}

fn monotonic_milliseconds() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    u64::try_from(now.tv_sec).unwrap_or(0) * 1000 + u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000_000
}
