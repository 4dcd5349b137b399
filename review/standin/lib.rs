//! Stand-ins for the platform, bricks and clients, and the start of a head with the deploy file's command.

pub mod brick;
pub mod discovery;
pub mod fleet;
pub mod head;
pub mod http;
pub mod ninep;
pub mod record;

use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::time::Duration;

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is to be made: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// How long a case may run before it is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// The processes that the case has started and not ended.
pub(crate) static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Runs a case and exits with its status; a case that panics, or takes too long, could not run. All processes that it
/// started are ended first.
pub fn run_case(case: fn() -> i32) -> ! {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        for id in PROCESSES.lock().expect("processes").iter() {
            let _ = std::process::Command::new("kill").arg("-KILL").arg(id.to_string()).status();
        }
        std::process::exit(COULD_NOT_RUN);
    });
    std::process::exit(std::panic::catch_unwind(case).unwrap_or(COULD_NOT_RUN))
}

/// A free loopback address; nothing listens there any more when it is returned.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Small reproducible random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}
