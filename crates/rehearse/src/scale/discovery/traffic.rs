//! What goes over each connection, counted at its socket.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Closed connections that are still reported one by one; older ones count in the total alone.
const MOST_CLOSED: usize = 16_384;

/// Payload and messages since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Payload received, bytes.
    pub bytes_in: u64,
    /// Payload sent, bytes.
    pub bytes_out: u64,
    /// Calls received.
    pub messages_in: u64,
    /// Answers sent.
    pub messages_out: u64,
}

impl Traffic {
    fn add(&mut self, other: Traffic) {
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
        self.messages_in += other.messages_in;
        self.messages_out += other.messages_out;
    }
}

/// The traffic of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTraffic {
    /// The other end.
    pub peer: SocketAddr,
    /// What went over it.
    pub traffic: Traffic,
}

/// Figures of a discovery process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The newest generation of the list.
    pub generation: u64,
    /// Over all connections since the start.
    pub total: Traffic,
    /// Calls since the start, those that failed included.
    pub calls: u64,
    /// Watches that wait now.
    pub open_watches: u64,
    /// Answers since the start that held the whole list.
    pub whole_lists: u64,
    /// Connections that are open.
    pub open_connections: u64,
    /// By connection, where that was asked for: those that are open, and the last that were closed.
    pub peers: Vec<PeerTraffic>,
}

/// The counters of one connection.
#[derive(Debug, Default)]
pub(super) struct Counters(Cell<Traffic>);

impl Counters {
    fn change(&self, act: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.0.get();
        act(&mut traffic);
        self.0.set(traffic);
    }

    /// A call was read.
    pub(super) fn received(&self) {
        self.change(|traffic| traffic.messages_in += 1);
    }

    /// An answer was written.
    pub(super) fn sent(&self) {
        self.change(|traffic| traffic.messages_out += 1);
    }
}

/// All connections, and the last that were closed.
#[derive(Debug, Default)]
pub(super) struct Peers {
    open: RefCell<BTreeMap<SocketAddr, Rc<Counters>>>,
    closed: RefCell<BTreeMap<SocketAddr, Traffic>>,
    closed_total: Cell<Traffic>,
}

impl Peers {
    /// Connections that are open.
    pub(super) fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// Counts a connection for as long as the guard lives.
    pub(super) fn admit(self: &Rc<Self>, peer: SocketAddr) -> Admitted {
        let counters = Rc::new(Counters::default());
        self.open.borrow_mut().insert(peer, Rc::clone(&counters));
        Admitted { peers: Rc::clone(self), peer, counters }
    }

    /// Over all connections since the start.
    pub(super) fn total(&self) -> Traffic {
        let mut total = self.closed_total.get();
        self.open.borrow().values().for_each(|counters| total.add(counters.0.get()));
        total
    }

    /// By connection; one that came from the address of a closed one is added to it.
    pub(super) fn each(&self) -> Vec<PeerTraffic> {
        let mut all = self.closed.borrow().clone();
        for (peer, counters) in self.open.borrow().iter() {
            all.entry(*peer).or_default().add(counters.0.get());
        }
        all.into_iter().map(|(peer, traffic)| PeerTraffic { peer, traffic }).collect()
    }

    fn close(&self, peer: SocketAddr) {
        let Some(counters) = self.open.borrow_mut().remove(&peer) else { return };
        let mut total = self.closed_total.get();
        total.add(counters.0.get());
        self.closed_total.set(total);
        let mut closed = self.closed.borrow_mut();
        if closed.len() < MOST_CLOSED || closed.contains_key(&peer) {
            closed.entry(peer).or_default().add(counters.0.get());
        }
    }
}

/// A connection that is counted.
#[derive(Debug)]
pub(super) struct Admitted {
    peers: Rc<Peers>,
    peer: SocketAddr,
    /// Its counters.
    pub(super) counters: Rc<Counters>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.peers.close(self.peer);
    }
}

/// A TCP stream whose payload is counted.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    counters: Rc<Counters>,
}

impl CountedStream {
    /// Counts what goes over a stream.
    pub(super) fn new(stream: TcpStream, counters: Rc<Counters>) -> CountedStream {
        CountedStream { stream, counters }
    }

    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.counters.change(|traffic| traffic.bytes_out += *bytes as u64);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = (buffer.filled().len() - before) as u64;
        self.counters.change(|traffic| traffic.bytes_in += bytes);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.count_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
