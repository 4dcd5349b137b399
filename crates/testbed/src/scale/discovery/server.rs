//! The HTTP side: `GET /v1/servers`, whole or as a watch, on connections that stay open.

use super::catalog::Catalog;
use super::traffic::{Admitted, Peers, Report};
use crate::http::HttpConnection;
use bytes::{Buf, Bytes};
use sedgerun_cluster::traffic::CountedStream;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Connections at once; what comes past them is closed.
const MOST_CONNECTIONS: usize = 16_384;
/// The wait of a watch that names none, and the longest.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// A reader that takes longer for an answer is cut off, so that old renderings of the list are not kept for it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Rest after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// How often replacements advance.
const TICK: Duration = Duration::from_millis(100);
/// The only resource.
const PATH: &str = "/v1/servers";

/// What watches wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    generation: u64,
    down: bool,
}

/// The service.
pub(super) struct Server {
    catalog: RefCell<Catalog>,
    state: watch::Sender<State>,
    peers: Rc<Peers>,
    calls: Cell<u64>,
    open_watches: Cell<u64>,
    whole_lists: Cell<u64>,
    replacements_per_second: Cell<f64>,
    down_until: Cell<Instant>,
}

/// A call of the only resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Call {
    since: Option<u64>,
    wait: Duration,
}

/// What a call is answered with.
enum Answer {
    List(Bytes),
    Unavailable,
    BadRequest,
    NotFound,
}

/// A watch that waits, counted until it is dropped.
struct OpenWatch<'a>(&'a Cell<u64>);

impl<'a> OpenWatch<'a> {
    fn new(count: &'a Cell<u64>) -> OpenWatch<'a> {
        count.set(count.get() + 1);
        OpenWatch(count)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads a target; an error is the answer to one that cannot be served.
fn parse_target(target: &str) -> Result<Call, Answer> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path != PATH {
        return Err(Answer::NotFound);
    }
    let mut call = Call { since: None, wait: DEFAULT_WAIT };
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        let number: u64 = value.parse().map_err(|_| Answer::BadRequest)?;
        match name {
            "since" => call.since = Some(number),
            "timeout_ms" => call.wait = Duration::from_millis(number).min(LONGEST_WAIT),
            _ => {}
        }
    }
    Ok(call)
}

impl Server {
    /// A service with this list.
    pub(super) fn new(catalog: Catalog) -> Rc<Server> {
        let (state, _) = watch::channel(State { generation: catalog.generation(), down: false });
        Rc::new(Server {
            catalog: RefCell::new(catalog),
            state,
            peers: Rc::default(),
            calls: Cell::new(0),
            open_watches: Cell::new(0),
            whole_lists: Cell::new(0),
            replacements_per_second: Cell::new(0.0),
            down_until: Cell::new(Instant::now()),
        })
    }

    /// Changes the list; watches hear of it.
    pub(super) fn change(&self, act: impl FnOnce(&mut Catalog)) {
        let mut catalog = self.catalog.borrow_mut();
        act(&mut catalog);
        let generation = catalog.generation();
        self.state
            .send_if_modified(|state| std::mem::replace(&mut state.generation, generation) != generation);
    }

    /// The newest generation.
    pub(super) fn generation(&self) -> u64 {
        self.catalog.borrow().generation()
    }

    /// From now on so many backends are replaced a second.
    pub(super) fn set_replacements(&self, per_second: f64) {
        self.replacements_per_second.set(per_second);
    }

    /// Fails all calls for a time, those that wait included. The longest of several such times counts.
    pub(super) fn go_down(self: &Rc<Self>, time: Duration) {
        let until = self.down_until.get().max(Instant::now() + time);
        self.down_until.set(until);
        self.set_down(true);
        let server = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(until.into()).await;
            server.set_down(Instant::now() < server.down_until.get());
        });
    }

    fn set_down(&self, down: bool) {
        self.state.send_if_modified(|state| std::mem::replace(&mut state.down, down) != down);
    }

    /// The figures until now.
    pub(super) fn report(&self, peers: bool) -> Report {
        Report {
            generation: self.generation(),
            total: self.peers.total(),
            calls: self.calls.get(),
            open_watches: self.open_watches.get(),
            whole_lists: self.whole_lists.get(),
            open_connections: self.peers.open() as u64,
            peers: if peers { self.peers.each() } else { Vec::new() },
        }
    }

    /// Replaces backends at the rate that was set, for ever.
    pub(super) async fn run_replacements(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut due = 0.0;
        loop {
            ticks.tick().await;
            due += self.replacements_per_second.get() * TICK.as_secs_f64();
            let begin = due.floor();
            due -= begin;
            self.change(|catalog| {
                catalog.advance(Instant::now());
                catalog.begin_replacing(begin as usize, Instant::now());
            });
        }
    }

    /// Accepts connections for ever.
    pub(super) async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if self.peers.open() < MOST_CONNECTIONS => {
                    let server = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        let admitted = server.peers.admit(peer);
                        // A connection that breaks is no fault of the service.
                        let _ = server.serve(stream, &admitted).await;
                    });
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            }
        }
    }

    async fn serve(&self, stream: TcpStream, admitted: &Admitted) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let traffic = &admitted.traffic;
        let mut wire = HttpConnection::over(CountedStream::new(stream, Arc::clone(traffic)));
        while let Some(request) = wire.read(false).await? {
            traffic.add_message_received();
            self.calls.set(self.calls.get() + 1);
            let parsed = parse_target(&request.target);
            drop(request);
            let answer = match parsed {
                Ok(call) => tokio::select! {
                    answer = self.answer(call) => answer,
                    () = wire.closed() => return Ok(()),
                },
                Err(answer) => answer,
            };
            tokio::time::timeout(WRITE_TIMEOUT, write(&mut wire, answer)).await??;
            traffic.add_message_sent();
        }
        Ok(())
    }

    /// Answers a call, a watch once there is something newer or its time is over.
    async fn answer(&self, call: Call) -> Answer {
        let mut state = self.state.subscribe();
        if let Some(since) = call.since {
            let _watch = OpenWatch::new(&self.open_watches);
            let changed = state.wait_for(|state| state.down || state.generation != since);
            let _ = tokio::time::timeout(call.wait, changed).await;
        }
        if state.borrow().down {
            return Answer::Unavailable;
        }
        let rendered = self.catalog.borrow_mut().answer(call.since);
        self.whole_lists.set(self.whole_lists.get() + u64::from(rendered.whole));
        Answer::List(rendered.body)
    }
}

async fn write(wire: &mut HttpConnection<CountedStream<TcpStream>>, answer: Answer) -> io::Result<()> {
    match answer {
        Answer::List(body) => {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            wire.write_buffer(Bytes::from(head).chain(body)).await
        }
        Answer::Unavailable => wire.answer("503 Service Unavailable", "", "").await,
        Answer::BadRequest => wire.answer("400 Bad Request", "", "").await,
        Answer::NotFound => wire.answer("404 Not Found", "", "").await,
    }
}
