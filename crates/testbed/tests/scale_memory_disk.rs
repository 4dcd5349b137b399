//! The disk of a hollow head against a plain vector of bytes.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use sedgerun_testbed::scale::memory_disk::MemoryDisk;

/// Bytes of the disk at the most.
const MOST: u64 = 40_000;

#[test]
fn it_holds_what_was_written_and_zeros_elsewhere() {
    let mut random = ChaCha8Rng::seed_from_u64(30);
    let disk = MemoryDisk::default();
    let open = disk.open();
    let mut model: Vec<u8> = Vec::new();
    for _ in 0..4000 {
        match random.random_range(0..10) {
            0 => {
                let length = random.random_range(0..MOST);
                open.set_len(length).expect("it is open");
                model.resize(length as usize, 0);
            }
            1..6 => {
                let from = random.random_range(0..MOST) as usize;
                let mut data = vec![0; random.random_range(0..9000)];
                if random.random_bool(0.7) {
                    random.fill_bytes(&mut data);
                }
                open.write(from as u64, &data).expect("it is open");
                model.resize(model.len().max(from + data.len()), 0);
                model[from..from + data.len()].copy_from_slice(&data);
            }
            _ => {
                let from = random.random_range(0..=model.len());
                let to = random.random_range(from..=model.len());
                let mut out = vec![7; to - from];
                open.read(from as u64, &mut out).expect("it is open");
                assert_eq!(out, model[from..to], "{from}..{to}");
            }
        }
        assert_eq!(open.len().expect("it is open"), model.len() as u64);
    }
    let past_the_end = open.read(model.len() as u64, &mut [0]);
    assert!(past_the_end.is_err());
}

#[test]
fn only_the_last_opening_reads_and_writes() {
    let disk = MemoryDisk::default();
    let first = disk.open();
    first.write(0, b"held").expect("it is open");
    let second = disk.open();
    assert!(first.write(0, b"late").is_err());
    let mut held = [0; 4];
    second.read(0, &mut held).expect("it is open");
    assert_eq!(&held, b"held");
    disk.detach();
    assert!(second.read(0, &mut held).is_err());
}
