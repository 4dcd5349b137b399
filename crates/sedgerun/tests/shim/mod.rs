//! Makes system calls of a program under test fail, and steps its wall clock: `system_calls.c` is built with the
//! system's C compiler, which also links these tests, and loaded into the program.
#![allow(dead_code, reason = "each test file uses a part")]

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// Words of the control file.
const WORDS: usize = 64;
/// The word that counts injected faults.
const FAULTS_WORD: u64 = 62;
const SEED_WORD: u64 = 63;
static SHIMS: AtomicU32 = AtomicU32::new(0);

/// Error numbers of Linux, which are the same on x86-64 and arm64.
pub mod errno {
    pub const EIO: i64 = 5;
    pub const ENFILE: i64 = 23;
    pub const EMFILE: i64 = 24;
    pub const ENOSPC: i64 = 28;
    pub const EADDRNOTAVAIL: i64 = 99;
    pub const ENETUNREACH: i64 = 101;
    pub const ECONNABORTED: i64 = 103;
    pub const ENOBUFS: i64 = 105;
    pub const ETIMEDOUT: i64 = 110;
    pub const EHOSTUNREACH: i64 = 113;
}

/// A call that can be made to fail, as numbered in `system_calls.c`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Accept,
    Socket,
    Connect,
    Wait,
    /// The value is the most bytes of a read.
    ShortRead,
    /// The value is the most bytes of a write.
    ShortWrite,
    ReadError,
    WriteError,
    FileWrite,
    FileSync,
    /// Half of a write, and the process is killed.
    HalfWrite,
}

/// The control of one program's system calls.
pub struct Shim {
    control: File,
    path: PathBuf,
}

impl Shim {
    /// A shim that changes nothing yet.
    pub fn new(seed: u64) -> Shim {
        let number = SHIMS.fetch_add(1, Ordering::SeqCst);
        let name = format!("sedgerun-calls-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let control = File::options().read(true).write(true).create(true).truncate(true).open(&path);
        let control = control.expect("a control file");
        control.set_len((WORDS * 8) as u64).expect("a control file");
        let shim = Shim { control, path };
        shim.set(SEED_WORD, seed as i64 | 1);
        shim
    }

    /// What the environment of the program has to have.
    pub fn environment(&self) -> [(&'static str, String); 2] {
        let library = library().to_str().expect("a path").to_owned();
        [("LD_PRELOAD", library), ("SYSTEM_CALLS_CONTROL", self.path.to_str().expect("a path").to_owned())]
    }

    fn set(&self, word: u64, value: i64) {
        self.control.write_all_at(&value.to_ne_bytes(), word * 8).expect("a control file");
    }

    /// Steps the wall clock to so many seconds from the true time.
    pub fn step_clock(&self, seconds: i64) {
        self.set(0, seconds * 1_000_000_000);
    }

    /// Makes so many calls of a thousand fail with an error number, or be cut to so many bytes.
    pub fn fail(&self, call: Call, value: i64, of_thousand: i64) {
        let word = 1 + 2 * call as u64;
        self.set(word, value);
        self.set(word + 1, of_thousand);
    }

    /// Lets all calls go through again.
    pub fn heal(&self) {
        (1..FAULTS_WORD).for_each(|word| self.set(word, 0));
    }

    /// The number of faults injected.
    pub fn faults(&self) -> i64 {
        let mut bytes = [0; 8];
        self.control.read_exact_at(&mut bytes, FAULTS_WORD * 8).expect("a control file");
        i64::from_ne_bytes(bytes)
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The library, which is built once for each test program.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shim/system_calls.c");
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let library = folder.join(format!("system_calls-{}.so", std::process::id()));
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .args([&library, &source])
            .arg("-ldl")
            .status();
        assert!(built.expect("a C compiler").success(), "{} was not built", source.display());
        library
    })
}
