//! A simulated disk: what is not synced may be missing, in part or torn, after a loss of power.

use super::seeded_random::SeededRandom;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes at whose multiples a write is torn by a loss of power.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum DiskOperation {
    Write { offset: u64, bytes: Vec<u8> },
    SetLength(u64),
}

impl DiskOperation {
    fn apply(&self, data: &mut Vec<u8>) {
        match self {
            DiskOperation::Write { offset, bytes } => {
                let (from, to) = (*offset as usize, *offset as usize + bytes.len());
                if data.len() < to {
                    data.resize(to, 0);
                }
                data[from..to].copy_from_slice(bytes);
            }
            DiskOperation::SetLength(length) => data.resize(*length as usize, 0),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct DiskContents {
    durable: Vec<u8>,
    /// What the running process reads: all it has written.
    written: Vec<u8>,
    pending: Vec<DiskOperation>,
    /// Counts processes; one that has ended can write no more.
    process: u64,
    /// Injected: it acknowledges a sync without doing it.
    lies: bool,
}

/// A machine's disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<DiskContents>>);

/// A disk as one process has it open.
#[derive(Debug)]
pub struct OpenDisk {
    disk: SimulatedDisk,
    process: u64,
}

impl SimulatedDisk {
    /// An empty disk; one that `lies` acknowledges a sync without doing it.
    pub fn new(lies: bool) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(DiskContents { lies, ..DiskContents::default() })))
    }

    fn lock(&self) -> MutexGuard<'_, DiskContents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens it for a new process.
    pub fn open(&self) -> OpenDisk {
        let mut inner = self.lock();
        inner.process += 1;
        OpenDisk { disk: self.clone(), process: inner.process }
    }

    /// The process ends at once; what it has written stays.
    pub fn kill(&self) {
        let mut inner = self.lock();
        inner.process += 1;
        if !inner.lies {
            inner.durable = inner.written.clone();
            inner.pending.clear();
        }
    }

    /// The machine loses power: of what is not synced, each write is there, or not, or torn.
    pub fn lose_power(&self, random: &mut SeededRandom) {
        let mut inner = self.lock();
        inner.process += 1;
        let pending = std::mem::take(&mut inner.pending);
        for operation in pending {
            match operation {
                DiskOperation::Write { offset, mut bytes }
                    if random.below(3) == 0 && bytes.len() > SECTOR =>
                {
                    let sectors = (bytes.len() / SECTOR) as u64;
                    bytes.truncate(random.below(sectors) as usize * SECTOR);
                    DiskOperation::Write { offset, bytes }.apply(&mut inner.durable);
                }
                operation if random.below(2) == 0 => operation.apply(&mut inner.durable),
                _ => {}
            }
        }
        inner.written = inner.durable.clone();
    }

    /// A copy of what a process would read now.
    pub fn copy(&self) -> SimulatedDisk {
        let inner = self.lock();
        let (written, lies) = (inner.written.clone(), inner.lies);
        SimulatedDisk(Arc::new(Mutex::new(DiskContents {
            durable: written.clone(),
            written,
            lies,
            ..DiskContents::default()
        })))
    }
}

impl OpenDisk {
    fn inner(&self) -> io::Result<MutexGuard<'_, DiskContents>> {
        let inner = self.disk.lock();
        if inner.process == self.process {
            Ok(inner)
        } else {
            Err(io::Error::other("this process has ended"))
        }
    }
}

impl StorageBackend for OpenDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.inner()?.written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.inner()?;
        let from = offset as usize;
        let read = inner.written.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(read);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut inner = self.inner()?;
        let operation = DiskOperation::SetLength(len);
        operation.apply(&mut inner.written);
        inner.pending.push(operation);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut inner = self.inner()?;
        if !inner.lies {
            let pending = std::mem::take(&mut inner.pending);
            pending.iter().for_each(|operation| operation.apply(&mut inner.durable));
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut inner = self.inner()?;
        let operation = DiskOperation::Write { offset, bytes: data.to_vec() };
        operation.apply(&mut inner.written);
        inner.pending.push(operation);
        Ok(())
    }
}
