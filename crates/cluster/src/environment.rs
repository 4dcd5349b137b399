//! The environment of a cluster node: clock, random numbers and transport. In a simulation, the simulator
//! provides all three.
//!
//! The simulator's clock and random numbers apply to the thread that runs it ([`Simulator`]); all other
//! threads use those of the operating system.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rustix::time::{ClockId, clock_gettime};
use sedgerun_net::Stream as SocketStream;
use sedgerun_replication::time::Millis;
use std::cell::RefCell;
use std::fmt::Debug;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};

/// A byte stream to another head.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + Sync {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send + Sync> Stream for T {}
/// A connection to another head over any transport.
pub type Connection = Box<dyn Stream>;
/// A connection attempt in progress.
pub type DialFuture = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send>>;

/// A transport that makes connections to other heads.
pub trait Dial: Debug + Send + Sync {
    /// Makes a connection.
    fn dial(&self, to: SocketAddr) -> DialFuture;
}

/// Makes connections over TCP.
#[derive(Debug)]
pub struct Tcp;

impl Dial for Tcp {
    fn dial(&self, to: SocketAddr) -> DialFuture {
        Box::pin(async move {
            let stream = SocketStream::connect(to).await?;
            Ok(Box::new(stream) as Connection)
        })
    }
}

/// The clock and the random numbers of a simulator. All its heads run on one thread.
pub struct Simulator {
    started_at: tokio::time::Instant,
    rng: ChaCha8Rng,
}

impl Simulator {
    /// Begins a simulation on this thread: its clock starts at 0 now, and `rng` generates the random numbers.
    pub fn begin(rng: ChaCha8Rng) {
        SIMULATOR.set(Some(Simulator { started_at: tokio::time::Instant::now(), rng }));
    }

    /// Ends the simulation on this thread.
    pub fn end() {
        SIMULATOR.set(None);
    }
}

thread_local! {
    static SIMULATOR: RefCell<Option<Simulator>> = const { RefCell::new(None) };
}

/// Monotonic time in milliseconds since the machine started; in a simulation, since it began. The clock
/// continues while the process is stopped or the machine sleeps, and cannot be set.
pub fn now() -> Millis {
    let simulator = SIMULATOR.with_borrow(|simulator| {
        simulator.as_ref().map(|simulator| simulator.started_at.elapsed().as_millis() as Millis)
    });
    simulator.unwrap_or_else(|| {
        let now = clock_gettime(ClockId::Boottime);
        now.tv_sec as Millis * 1000 + now.tv_nsec as Millis / 1_000_000
    })
}

/// The operating system's random numbers cannot be read.
#[derive(Debug, Error)]
#[error("/dev/urandom: {0}")]
pub struct EntropyError(#[source] io::Error);

/// Returns a random number from the operating system, or from the simulator of this thread.
///
/// # Errors
/// The operating system's source cannot be read.
pub fn random() -> Result<u64, EntropyError> {
    let simulated =
        SIMULATOR.with_borrow_mut(|simulator| simulator.as_mut().map(|simulator| simulator.rng.next_u64()));
    if let Some(simulated) = simulated {
        return Ok(simulated);
    }
    let mut bytes = [0; 8];
    let read = std::fs::File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    read.map_err(EntropyError)?;
    Ok(u64::from_le_bytes(bytes))
}
