//! A fault proxy between sockets: one proxy for one directed link, steered while traffic flows. It stands on a
//! loopback port of its own, so that the party behind it may come and go with other ports.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamFault {
    /// They pass.
    #[default]
    Pass,
    /// They pass so much later.
    Delay(Duration),
    /// They pass one at a time, so much apart.
    Trickle(Duration),
    /// They wait until the fault is over.
    Stall,
    /// They are dropped.
    Lose,
    /// One bit of each chunk is flipped.
    Corrupt,
}

/// The faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Connections are reset and new ones refused.
    pub cut: bool,
    /// From the one that dials to the one that is dialed.
    pub forward: StreamFault,
    /// Back.
    pub backward: StreamFault,
}

/// A link whose faults can be set at any time.
#[derive(Clone)]
pub struct Link {
    /// Where it is dialed.
    pub address: SocketAddr,
    inner: Arc<(Mutex<LinkState>, Condvar)>,
}

#[derive(Default)]
struct LinkState {
    faults: LinkFaults,
    target: Option<SocketAddr>,
    streams: Vec<TcpStream>,
    /// Chunks that a fault has affected.
    affected: u64,
}

impl Link {
    /// A link that leads nowhere yet.
    pub fn start() -> io::Result<Link> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let link = Link { address: listener.local_addr()?, inner: Arc::default() };
        let own = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                own.take(stream);
            }
        });
        Ok(link)
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.inner.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on it leads here.
    pub fn forward_to(&self, target: SocketAddr) {
        self.lock().target = Some(target);
    }

    /// Puts a fault in the place of the last one.
    pub fn set_faults(&self, faults: LinkFaults) {
        let mut state = self.lock();
        state.faults = faults;
        if faults.cut {
            for stream in state.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.inner.1.notify_all();
    }

    /// How many chunks faults have affected.
    pub fn affected(&self) -> u64 {
        self.lock().affected
    }

    fn take(&self, near: TcpStream) {
        let mut state = self.lock();
        let Some(target) = state.target.filter(|_| !state.faults.cut) else { return };
        let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
            state.streams.extend(stream.try_clone());
        }
        state.streams.retain(|stream| stream.peer_addr().is_ok());
        let Some((near_too, far_too)) = near.try_clone().ok().zip(far.try_clone().ok()) else { return };
        for (from, to, back) in [(near, far, false), (far_too, near_too, true)] {
            let link = self.clone();
            thread::spawn(move || link.pump(from, to, back));
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, back: bool) {
        let mut chunk = [0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut chunk) {
            if self.pass(&mut chunk[..length], &mut to, back).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }

    fn pass(&self, chunk: &mut [u8], to: &mut TcpStream, back: bool) -> io::Result<()> {
        let mut state = self.lock();
        let fault = |state: &LinkState| if back { state.faults.backward } else { state.faults.forward };
        state.affected += u64::from(fault(&state) != StreamFault::Pass);
        while fault(&state) == StreamFault::Stall {
            state = self.inner.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let fault = fault(&state);
        drop(state);
        match fault {
            StreamFault::Pass | StreamFault::Stall => to.write_all(chunk),
            StreamFault::Delay(by) => {
                thread::sleep(by);
                to.write_all(chunk)
            }
            StreamFault::Trickle(apart) => chunk.chunks(1).try_for_each(|byte| {
                thread::sleep(apart);
                to.write_all(byte)
            }),
            StreamFault::Lose => Ok(()),
            StreamFault::Corrupt => {
                let middle = chunk.len() / 2;
                chunk[middle] ^= 0x10;
                to.write_all(chunk)
            }
        }
    }
}
