//! The disk of a hollow head: bytes in memory that outlive the head.

use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes of a page.
const PAGE: usize = 4096;

#[derive(Debug, Default)]
struct Contents {
    /// The pages that were written to; all others hold zeros, of which a fresh store has a megabyte.
    pages: BTreeMap<u64, Box<[u8; PAGE]>>,
    length: u64,
    /// Counts openings: only the last one may read and write.
    opening: u64,
}

/// A part of a page: its number, and the range within it.
type PagePart = (u64, Range<usize>);

/// The parts of pages that a range of bytes covers, in order.
fn page_parts(offset: u64, length: usize) -> impl Iterator<Item = PagePart> {
    let (mut at, end) = (offset, offset + length as u64);
    std::iter::from_fn(move || {
        if at >= end {
            return None;
        }
        let (page, from) = (at / PAGE as u64, (at % PAGE as u64) as usize);
        let to = (end - page * PAGE as u64).min(PAGE as u64) as usize;
        at = page * PAGE as u64 + to as u64;
        Some((page, from..to))
    })
}

impl Contents {
    fn read(&self, offset: u64, out: &mut [u8]) {
        let mut rest = out;
        let parts = page_parts(offset, rest.len());
        for (page, range) in parts {
            let (part, behind) = rest.split_at_mut(range.len());
            match self.pages.get(&page) {
                Some(page) => part.copy_from_slice(&page[range]),
                None => part.fill(0),
            }
            rest = behind;
        }
    }

    fn write(&mut self, offset: u64, data: &[u8]) {
        self.length = self.length.max(offset + data.len() as u64);
        let mut rest = data;
        for (page, range) in page_parts(offset, data.len()) {
            let (part, behind) = rest.split_at(range.len());
            rest = behind;
            if part.iter().all(|byte| *byte == 0) && !self.pages.contains_key(&page) {
                continue;
            }
            self.pages.entry(page).or_insert_with(|| Box::new([0; PAGE]))[range].copy_from_slice(part);
        }
    }

    fn set_length(&mut self, length: u64) {
        // What is cut off comes back as zeros.
        let kept = length.div_ceil(PAGE as u64);
        self.pages.split_off(&kept);
        if let Some(last) = self.pages.get_mut(&(length / PAGE as u64)) {
            last[(length % PAGE as u64) as usize..].fill(0);
        }
        self.length = length;
    }
}

/// A disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<Contents>>);

/// A disk as opened by one run of a head.
#[derive(Debug)]
pub struct OpenDisk {
    disk: MemoryDisk,
    opening: u64,
}

impl MemoryDisk {
    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the disk; whoever had it open before can no longer use it.
    pub fn open(&self) -> OpenDisk {
        let mut contents = self.lock();
        contents.opening += 1;
        OpenDisk { disk: self.clone(), opening: contents.opening }
    }

    /// Whoever has it open can no longer use it.
    pub fn detach(&self) {
        self.lock().opening += 1;
    }
}

impl OpenDisk {
    fn contents(&self) -> io::Result<MutexGuard<'_, Contents>> {
        let contents = self.disk.lock();
        if contents.opening == self.opening {
            Ok(contents)
        } else {
            Err(io::Error::other("the head of this disk has ended"))
        }
    }
}

impl StorageBackend for OpenDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.contents()?.length)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let contents = self.contents()?;
        if offset + out.len() as u64 > contents.length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        contents.read(offset, out);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.contents()?.set_length(len);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.contents().map(drop)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.contents()?.write(offset, data);
        Ok(())
    }
}
