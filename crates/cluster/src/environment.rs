//! What a cluster node takes from its environment: the time, random numbers, and connections. In a simulation all three
//! come from the simulator.
//!
//! The simulator's clock and random numbers belong to the thread that runs it ([`Simulator`]); on all other threads the
//! operating system's are used.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rustix::time::{ClockId, clock_gettime};
use sedgerun_replication::time::Millis;
use std::cell::RefCell;
use std::fmt::Debug;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A byte stream to another head.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + Sync {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send + Sync> Stream for T {}
/// A connection to another head, over whatever transport.
pub type Connection = Box<dyn Stream>;
/// A connection that is being made.
pub type DialFuture = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send>>;

/// A transport that makes connections to other heads.
pub trait Dial: Debug + Send + Sync {
    /// Makes a connection.
    fn dial(&self, to: SocketAddr) -> DialFuture;
}

/// The transport over TCP.
#[derive(Debug)]
pub struct Tcp;

impl Dial for Tcp {
    fn dial(&self, to: SocketAddr) -> DialFuture {
        Box::pin(async move {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Connection)
        })
    }
}

/// The clock and the random numbers of a simulator; all its heads run on one thread.
pub struct Simulator {
    begun: tokio::time::Instant,
    rng: ChaCha8Rng,
}

impl Simulator {
    /// Begins a simulation on this thread: its clock starts now, and random numbers come from this generator.
    pub fn begin(rng: ChaCha8Rng) {
        SIMULATOR.set(Some(Simulator { begun: tokio::time::Instant::now(), rng }));
    }

    /// Ends the simulation on this thread.
    pub fn end() {
        SIMULATOR.set(None);
    }
}

thread_local! {
    static SIMULATOR: RefCell<Option<Simulator>> = const { RefCell::new(None) };
}

/// Milliseconds since the machine started, on a clock that runs on while a process is stopped or the machine sleeps, and
/// that cannot be set. In a simulation: since its beginning.
pub fn now() -> Millis {
    let simulator = SIMULATOR.with_borrow(|simulator| {
        simulator.as_ref().map(|simulator| simulator.begun.elapsed().as_millis() as Millis)
    });
    simulator.unwrap_or_else(|| {
        let now = clock_gettime(ClockId::Boottime);
        now.tv_sec as Millis * 1000 + now.tv_nsec as Millis / 1_000_000
    })
}

/// The operating system has no random numbers.
#[derive(Debug, Error)]
#[error("/dev/urandom: {0}")]
pub struct EntropyError(#[source] io::Error);

/// A random number, from the operating system or from the simulator.
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
