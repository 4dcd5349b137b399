//! Clients in a closed loop: each keeps one connection to the head and has one request out at a time, at a backend
//! drawn anew for each.

use crate::http::HttpConnection;
use crate::random::source;
use crate::scale::error::ScaleError;
use bytes::Buf;
use hdrhistogram::Histogram;
use rand_chacha::rand_core::Rng;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// The deadline of a request, ms.
const DEADLINE_MS: u64 = 2_000;
/// Rest after a request that was not served, so that refusals are no busy loop.
const REFUSED_REST: Duration = Duration::from_millis(5);
/// The longest time that a histogram distinguishes from a longer one, us.
const MOST_US: u64 = 60_000_000;
/// Volumes that requests belong to.
const VOLUMES: u64 = 64;
/// Stages of a measurement.
const WARMING: u8 = 0;
const MEASURING: u8 = 1;
const DONE: u8 = 2;
const ENDED: u8 = 3;

/// Where requests go, and what they are.
#[derive(Clone, Debug)]
pub(super) struct Traffic {
    /// The head.
    pub(super) head: SocketAddr,
    /// The class of the requests.
    pub(super) class: String,
    /// The plan of their volumes.
    pub(super) plan: String,
    /// Backends that they are spread over.
    pub(super) cells: usize,
    /// The body of each request; empty: reads.
    pub(super) body: Vec<u8>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// A backend's answer.
    Served,
    /// Anything else.
    NotServed,
}

impl Traffic {
    /// Sends a request for a cell, whose number is new with each, and waits for its answer.
    pub(super) async fn request(
        &self,
        wire: &mut HttpConnection,
        number: u64,
        cell: usize,
    ) -> io::Result<Answer> {
        let (class, plan, volume) = (&self.class, &self.plan, number % VOLUMES + 1);
        let (method, length) = match self.body.len() {
            0 => ("GET", String::new()),
            bytes => ("PUT", format!("Content-Length: {bytes}\r\n")),
        };
        let head = format!(
            "{method} /{class}/a HTTP/1.1\r\nHost: h\r\nRequest-Id: {number:016x}\r\nX-Qos-Policy: {plan}\r\n\
             X-Chunk: {number:016x}\r\nRequest-Timeout-Ms: {DEADLINE_MS}\r\n\
             X-Placement: volume={volume:016x},units=1,shard={cell},hosts=1\r\n{length}\r\n"
        );
        wire.write_buffer(head.as_bytes().chain(self.body.as_slice())).await?;
        let answer = wire.read(true).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let served = answer.status == 200 && answer.body == format!("{number:016x}").as_bytes();
        Ok(if served { Answer::Served } else { Answer::NotServed })
    }
}

/// What was seen while the window was open.
pub(super) struct Window {
    /// Times of served requests, us.
    pub(super) times: Histogram<u64>,
    /// Requests that were not served.
    pub(super) not_served: u64,
}

/// All clients, on a thread of their own.
pub(super) struct Clients {
    stage: Arc<AtomicU8>,
    thread: JoinHandle<io::Result<Window>>,
}

struct Load {
    traffic: Traffic,
    stage: Arc<AtomicU8>,
    window: RefCell<Window>,
}

impl Clients {
    /// Starts so many clients.
    pub(super) fn start(traffic: Traffic, clients: usize) -> Result<Clients, ScaleError> {
        let stage = Arc::new(AtomicU8::new(WARMING));
        let times = Histogram::new_with_bounds(1, MOST_US, 3);
        let times = times.map_err(|error| ScaleError::failed("clients", error))?;
        let window = Window { times, not_served: 0 };
        let load_stage = Arc::clone(&stage);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let load = Load { traffic, stage: load_stage, window: RefCell::new(window) };
            LocalSet::new().block_on(&runtime, load.run(clients))
        });
        Ok(Clients { stage, thread })
    }

    /// Requests count from now on.
    pub(super) fn open_window(&self) {
        self.stage.store(MEASURING, Ordering::Relaxed);
    }

    /// Requests that are answered later do not count.
    pub(super) fn close_window(&self) {
        self.stage.store(DONE, Ordering::Relaxed);
    }

    /// Ends all clients.
    pub(super) fn end(self) -> Result<Window, ScaleError> {
        self.stage.store(ENDED, Ordering::Relaxed);
        let ended = self.thread.join().map_err(|_| ScaleError::Failed("the clients broke off".into()))?;
        ended.map_err(|error| ScaleError::failed("clients", error))
    }
}

impl Load {
    async fn run(self, clients: usize) -> io::Result<Window> {
        let load = Rc::new(self);
        let tasks: Vec<_> =
            (0..clients).map(|client| tokio::task::spawn_local(Rc::clone(&load).client(client))).collect();
        for task in tasks {
            task.await.map_err(io::Error::other)??;
        }
        let load = Rc::into_inner(load).ok_or_else(|| io::Error::other("a client is left"))?;
        Ok(load.window.into_inner())
    }

    async fn client(self: Rc<Self>, client: usize) -> io::Result<()> {
        let mut random = source(client as u64, 0);
        let mut number = (client as u64) << 32;
        let mut wire = None;
        while self.stage.load(Ordering::Relaxed) != ENDED {
            number += 1;
            let cell = ((u64::from(random.next_u32()) * self.traffic.cells as u64) >> 32) as usize;
            let mut open = match wire.take() {
                Some(open) => open,
                None => HttpConnection::new(TcpStream::connect(self.traffic.head).await?),
            };
            let begun = Instant::now();
            let answer = self.traffic.request(&mut open, number, cell).await;
            self.count(&answer, begun.elapsed());
            match answer {
                Ok(Answer::Served) => wire = Some(open),
                Ok(Answer::NotServed) => {
                    wire = Some(open);
                    tokio::time::sleep(REFUSED_REST).await;
                }
                Err(_) => tokio::time::sleep(REFUSED_REST).await,
            }
        }
        Ok(())
    }

    fn count(&self, answer: &io::Result<Answer>, latency: Duration) {
        if self.stage.load(Ordering::Relaxed) != MEASURING {
            return;
        }
        let mut window = self.window.borrow_mut();
        match answer {
            Ok(Answer::Served) => window.times.saturating_record(latency.as_micros() as u64),
            Ok(Answer::NotServed) | Err(_) => window.not_served += 1,
        }
    }
}
