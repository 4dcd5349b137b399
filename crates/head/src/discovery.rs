//! The watch on discovery's list: one call after the other, for as long as the program lives. Where lists are
//! asked for, the decisions say when to watch again, within the time in which a change counts as told; where
//! they are pushed, an agent on this machine is called.

use crate::back::Backs;
use crate::back::answer::Room;
use crate::back::http::{Spans, client};
use crate::config::Config;
use crate::hub::Hub;
use actix_http::error::ParseError;
use awc::Client;
use awc::error::SendRequestError;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use sedgerun_decide::api::{Listed, Micros, NodeId, Readiness, Scope, Settings};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls. The
/// answer that tells it has to be read by then, with some turns of the program to spare.
const TOLD: Duration = Duration::from_millis(5800);
/// The longest that a watch waits for news. One that fell silent as it began is given up, and the next call
/// answered, within [`TOLD`].
const WAIT: Duration = Duration::from_millis(3500);
/// The part of it that a watch waits at the least. Guards against a stampede: all heads' watches are answered at
/// once by a change, and would end, or be given up, at once ever after.
const LEAST_WAIT: f64 = 0.65;
/// Time past the wait after which a call counts as lost. Discovery drops what waits there for a second.
const LOST: Duration = Duration::from_millis(1100);
/// The part of the time left for the next call after which it is made at the least, where the decisions would
/// wait for longer: spread over the heads, as those would.
const LEAST_LEFT: f64 = 0.7;
/// What a new discovery tells counts this long after the program was sent to it.
const MOVE: Duration = Duration::from_secs(4);
/// Wait between calls to a new discovery that does not answer yet.
const MOVE_WAIT: Duration = Duration::from_millis(200);
/// The shortest wait on an agent, where the settings give drains no grace to take it from.
const LEAST_PUSHED: Duration = Duration::from_millis(100);
/// Rest after an agent that refuses, or that answers at once with nothing newer: guards against a busy loop.
const REST: Duration = Duration::from_millis(50);
/// The largest list that is read.
const MOST_LIST: usize = 1 << 20;

/// How calls are paced: it follows from whether lists are asked for or pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pace {
    /// A service for all heads is asked, at the pace that the decisions set; else this machine's agent is.
    asked: bool,
    /// How long a call may wait for news.
    wait: Duration,
    /// Time past the wait after which the call counts as lost.
    lost: Duration,
}

impl Pace {
    fn new(settings: &Settings) -> Pace {
        if settings.permits.must_ask {
            return Pace { asked: true, wait: WAIT, lost: LOST };
        }
        // Guards against a drain that the agent has while this head waits on a call that a silent agent will
        // never answer: what the agent has counts as told. Wait and loss together stay within three quarters
        // of the grace, and a call to the agent costs nobody anything.
        let grace = Duration::from_micros(settings.rules.drain_grace);
        let (wait, lost) = ((grace / 2).max(LEAST_PUSHED), (grace / 4).max(LEAST_PUSHED));
        Pace { asked: false, wait: wait.min(WAIT), lost: lost.min(LOST) }
    }
}

/// A list as discovery gives it.
#[derive(Debug, PartialEq)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// The whole list, not only changes.
    pub whole: bool,
    /// The entries, with the addresses of those that run.
    pub nodes: Vec<(Listed, Option<SocketAddr>)>,
}

/// Reads a list; an error names what is wrong with it.
pub fn read_list(json: &Value, zones: &[String], number: impl Fn(&str) -> NodeId) -> Result<List, String> {
    let generation = json.get("generation").and_then(Value::as_u64).ok_or("generation is not a number")?;
    let whole = json.get("reset").and_then(Value::as_bool).ok_or("reset is neither true nor false")?;
    let entries = json.get("instances").and_then(Value::as_array).ok_or("instances is not a list")?;
    let mut nodes = Vec::with_capacity(entries.len());
    for (i, entry) in entries.iter().enumerate() {
        let bad = |name: &str| format!("instances.{i}.{name} is missing or malformed");
        let text = |name: &str| entry.get(name).and_then(Value::as_str);
        let id = text("instanceId").filter(|id| !id.is_empty()).ok_or_else(|| bad("instanceId"))?;
        let readiness = match text("lifecycle") {
            Some("ready") => Readiness::Ready,
            Some("draining") => Readiness::Draining,
            Some("gone") => Readiness::Gone,
            _ => return Err(bad("lifecycle")),
        };
        let address = text("hostPort").and_then(|address| address.parse().ok());
        if address.is_none() && readiness != Readiness::Gone {
            return Err(bad("hostPort"));
        }
        let cell = entry.get("cell").and_then(Value::as_u64).and_then(|cell| u32::try_from(cell).ok());
        let cell = match (cell, readiness) {
            (Some(cell), _) => cell,
            (None, Readiness::Gone) => 0,
            (None, _) => return Err(bad("cell")),
        };
        let zone = text("zone").and_then(|zone| zones.iter().position(|known| known == zone)).unwrap_or(0);
        let came_up = entry.get("startedAtMs").and_then(Value::as_u64).unwrap_or(0).saturating_mul(1000);
        let node = number(id);
        nodes
            .push((Listed { node, cell, zone: zone as u16, came_up: came_up as Micros, readiness }, address));
    }
    Ok(List { generation, whole, nodes })
}

/// How a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Failure {
    /// It was refused, broke, or was turned away: discovery, or the way there, said so.
    Refused(String),
    /// Nothing, or not the whole answer, came in time.
    Silent,
    /// An answer came that cannot be read, or is too large.
    Malformed(String),
}

/// What an error of a call says: an answer that the connection gives as spoilt has come.
fn failure(error: &SendRequestError) -> Failure {
    match error {
        SendRequestError::Response(ParseError::Io(what)) if what.kind() != ErrorKind::InvalidData => {
            Failure::Refused(error.to_string())
        }
        SendRequestError::Response(_) => Failure::Malformed(error.to_string()),
        error => Failure::Refused(error.to_string()),
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(what) => write!(f, "call failed: {what}"),
            Failure::Silent => f.write_str("no answer in time"),
            Failure::Malformed(what) => write!(f, "malformed list: {what}"),
        }
    }
}

fn fresh_client(hub: &Hub) -> Client {
    client(
        Spans { dial: Duration::from_secs(1), idle: Duration::from_secs(60) },
        &Room::new(MOST_LIST, MOST_LIST),
        hub.backs().descriptors(),
        0,
        Some(hub.figures.discovery.clone()),
    )
}

/// Watches discovery for one program.
pub struct Discovery {
    hub: Rc<Hub>,
    config: Rc<Config>,
    client: Client,
    address: SocketAddr,
    pace: Pace,
    /// Spreads calls over the heads.
    random: ChaCha8Rng,
    /// The last call of the agent failed; said once, not at each call.
    silent: bool,
    /// When it was sent to this address, until something has come from there.
    moved: Option<Instant>,
    generation: Option<u64>,
    /// The operator's boxes that discovery has ever told of: it alone knows what has become of those.
    told: BTreeSet<NodeId>,
    /// The nodes on its list.
    listed: BTreeSet<NodeId>,
}

impl Discovery {
    /// A watch that tells this hub.
    pub fn new(hub: Rc<Hub>, config: Rc<Config>) -> Discovery {
        let (address, pace) = (config.discovery, Pace::new(&config.settings));
        let (client, generation) = (fresh_client(&hub), None);
        let (told, listed) = Default::default();
        let (silent, moved) = (false, None);
        let random = ChaCha8Rng::seed_from_u64(config.seed);
        Discovery { hub, config, client, address, pace, random, silent, moved, generation, told, listed }
    }

    /// A part of a time, drawn from `least` to the whole.
    fn part(&mut self, least: f64, whole: Duration) -> Duration {
        let chance = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        whole.mul_f64(least + (1.0 - least) * chance)
    }

    /// Goes to another discovery: its versions are its own, so that the whole list is asked for. The old list
    /// stands until that one is there. Connections to the old address close.
    fn go(&mut self, address: SocketAddr) {
        (self.address, self.client) = (address, fresh_client(&self.hub));
        (self.generation, self.moved) = (None, Some(Instant::now()));
    }

    /// Takes the list that the program was started with.
    pub fn take_known(&mut self) {
        let known = self.config.known.clone();
        let list = known.map(|known| read_list(&known, &self.config.zones, |id| self.number(id)));
        match list {
            Some(Ok(list)) => return self.tell(Scope::Cached, list),
            Some(Err(what)) => tracing::warn!("known: {what}"),
            None => {}
        }
        self.hub.list(Scope::Cached, self.untold());
    }

    /// Watches for as long as the program lives; an asked list when the controller wants it, until a call
    /// fails; a pushed one always; and at once at a new address.
    pub async fn run(mut self, mut at: watch::Receiver<SocketAddr>) {
        if self.pace.asked {
            self.hub.wants_watch().await;
        }
        loop {
            let (since, begun, wait) = (self.generation, Instant::now(), self.wait());
            let called = tokio::select! {
                biased;
                // The call that waits is dropped: what the old discovery would say is of no use.
                Ok(()) = at.changed() => {
                    self.go(*at.borrow_and_update());
                    continue;
                }
                called = self.call(wait) => called,
            };
            match called {
                Ok(list) => {
                    self.moved = None;
                    if std::mem::take(&mut self.silent) {
                        tracing::info!("discovery: answers again");
                    }
                    let news = since != Some(list.generation);
                    let scope = if list.whole { Scope::Full } else { Scope::Delta };
                    self.tell(scope, list);
                    if !self.pace.asked && !news && begun.elapsed() < REST {
                        tokio::time::sleep(REST).await;
                    }
                }
                Err(failure) => {
                    let rest = self.failed(&failure, begun);
                    tokio::select! {
                        () = tokio::time::sleep(rest) => {}
                        () = self.hub.wants_watch(), if self.pace.asked => {}
                        Ok(()) = at.changed() => self.go(*at.borrow_and_update()),
                    }
                }
            }
        }
    }

    /// A call failed that began then: how long from now the next one is made at the latest. An asked list may be
    /// wanted by the decisions before.
    fn failed(&mut self, failure: &Failure, begun: Instant) -> Duration {
        if !std::mem::replace(&mut self.silent, !self.pace.asked) {
            tracing::warn!("discovery: {failure}");
        }
        // Guards against asking for the same malformed changes for ever.
        if matches!(failure, Failure::Malformed(_)) {
            self.generation = None;
        }
        // Guards against a back-off that outlasts the time in which a new discovery counts as having told.
        if self.moved.is_some_and(|moved| moved.elapsed() < MOVE) {
            return MOVE_WAIT.saturating_sub(begun.elapsed());
        }
        if !self.pace.asked {
            return REST.saturating_sub(begun.elapsed());
        }
        self.hub.forget_watch();
        self.hub.list(Scope::Failed, Vec::new());
        // Guards against a drain that discovery has while this head backs off: whatever the decisions say, the
        // next call is answered by the time at which the drain counts as told. Discovery may have had it, and
        // could be reached, from the moment in which it last said nothing or no.
        let unheard = if *failure == Failure::Silent { begun.elapsed() } else { Duration::ZERO };
        self.part(LEAST_LEFT, TOLD.saturating_sub(LOST + unheard))
    }

    /// How long the next call waits for news; not at all where the whole list is asked for.
    fn wait(&mut self) -> Duration {
        match (self.generation, self.pace.asked) {
            (None, _) => Duration::ZERO,
            (Some(_), true) => self.part(LEAST_WAIT, self.pace.wait),
            (Some(_), false) => self.pace.wait,
        }
    }

    async fn call(&self, wait: Duration) -> Result<List, Failure> {
        let address = self.address;
        let url = match self.generation {
            Some(since) => {
                format!("http://{address}/v1/servers?since={since}&timeout_ms={}", wait.as_millis())
            }
            None => format!("http://{address}/v1/servers"),
        };
        let exchange = async {
            let mut response = self.client.get(url).send().await.map_err(|error| failure(&error))?;
            if response.status() != 200 {
                return Err(Failure::Refused(format!("answered {}", response.status().as_u16())));
            }
            let body = response.body().limit(MOST_LIST).await;
            body.map_err(|error| Failure::Malformed(format!("answer broke off: {error}")))
        };
        let body =
            tokio::time::timeout(wait + self.pace.lost, exchange).await.map_err(|_| Failure::Silent)??;
        let json = serde_json::from_slice(&body).map_err(|error| Failure::Malformed(error.to_string()))?;
        read_list(&json, &self.config.zones, |id| self.number(id)).map_err(Failure::Malformed)
    }

    fn number(&self, id: &str) -> NodeId {
        let backs: &Backs = self.hub.backs();
        backs.names.node(id)
    }

    fn tell(&mut self, scope: Scope, list: List) {
        self.generation = Some(list.generation);
        let hub = Rc::clone(&self.hub);
        let own = self.own();
        let before = self.listed.len();
        if scope != Scope::Delta {
            self.listed.clear();
        }
        for (Listed { node, readiness, .. }, address) in &list.nodes {
            if own.iter().any(|(own, _)| own == node) {
                self.told.insert(*node);
            }
            if *readiness == Readiness::Gone {
                self.listed.remove(node);
            } else {
                self.listed.insert(*node);
                hub.backs().place(*node, *address);
            }
        }
        // Guards against a list that lost most entries by mistake: it is heeded, and the whole list asked for
        // once more, at once.
        if scope == Scope::Full && 2 * self.listed.len() < before {
            self.generation = None;
        }
        let mut nodes: Vec<Listed> = list.nodes.into_iter().map(|(listed, _)| listed).collect();
        if scope != Scope::Delta {
            nodes.extend(self.untold());
        }
        hub.list(scope, nodes);
        // Guards against growing with every box that is ever replaced. One with an attempt out is forgotten
        // with a later list; those come at least once a wait.
        for node in hub.backs().names.all() {
            // A banned brick keeps its number, so that its ban holds when it is listed again.
            let kept = self.listed.contains(&node) || own.iter().any(|(own, _)| *own == node);
            let kept = kept || hub.is_banned(node);
            if !kept && !hub.in_flight(node) {
                hub.backs().forget(node);
            }
        }
    }

    /// The boxes of the operator's file, and their shards.
    fn own(&self) -> Vec<(NodeId, u32)> {
        self.config.operator.boxes.iter().map(|node| (self.number(&node.id), node.shard)).collect()
    }

    /// The boxes of the operator's file that discovery has never told of: they count as ready.
    fn untold(&self) -> Vec<Listed> {
        let untold = self.own().into_iter().filter(|(node, _)| !self.told.contains(node));
        let ready = Readiness::Ready;
        untold.map(|(node, cell)| Listed { node, cell, zone: 0, came_up: 0, readiness: ready }).collect()
    }
}
