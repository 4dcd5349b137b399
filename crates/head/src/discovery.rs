//! The watch on discovery's list: one call after the other, for as long as the program lives. Where lists are
//! asked for, the decisions say when to watch again; where they are pushed, an agent on this machine is called.

use crate::back::Backs;
use crate::back::answer::Room;
use crate::back::http::{Spans, client};
use crate::config::Config;
use crate::hub::Hub;
use awc::Client;
use sedgerun_decide::api::{Listed, Micros, NodeId, Readiness, Scope, Settings};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How long a watch may wait for news.
const WAIT: Duration = Duration::from_secs(8);
/// Time past the wait after which a call counts as lost: what discovery tells counts 2 s after it.
const LOST: Duration = Duration::from_millis(1500);
/// What a new discovery tells counts this long after the program was sent to it.
const MOVE: Duration = Duration::from_secs(4);
/// Wait between calls to a new discovery that does not answer yet.
const MOVE_WAIT: Duration = Duration::from_millis(200);
/// The shortest wait on an agent, where the settings give drains no grace to take it from.
const LEAST_PUSHED: Duration = Duration::from_millis(100);
/// Rest after an agent that refuses, or that answers at once with nothing newer: guards against a busy loop.
const REST: Duration = Duration::from_millis(50);
/// What an error of a list that came but cannot be read begins with.
const MALFORMED: &str = "malformed list";
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

fn fresh_client() -> Client {
    client(
        Spans { dial: Duration::from_secs(1), idle: Duration::from_secs(60) },
        &Room::new(MOST_LIST, MOST_LIST),
    )
}

/// Watches discovery for one program.
pub struct Discovery {
    hub: Rc<Hub>,
    config: Rc<Config>,
    client: Client,
    address: SocketAddr,
    pace: Pace,
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
        let (client, generation) = (fresh_client(), None);
        let (told, listed) = Default::default();
        let (silent, moved) = (false, None);
        Discovery { hub, config, client, address, pace, silent, moved, generation, told, listed }
    }

    /// Goes to another discovery: its versions are its own, so that the whole list is asked for. The old list
    /// stands until that one is there. Connections to the old address close.
    fn go(&mut self, address: SocketAddr) {
        (self.address, self.client) = (address, fresh_client());
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
        loop {
            tokio::select! {
                () = self.hub.wants_watch(), if self.pace.asked => {}
                // The decisions never ask for what is pushed: there is nothing to wait for.
                () = std::future::ready(()), if !self.pace.asked => {}
                Ok(()) = at.changed() => self.go(*at.borrow_and_update()),
            }
            loop {
                let (since, begun) = (self.generation, Instant::now());
                let called = tokio::select! {
                    biased;
                    // The call that waits is dropped: what the old discovery would say is of no use.
                    Ok(()) = at.changed() => {
                        self.go(*at.borrow_and_update());
                        continue;
                    }
                    called = self.call() => called,
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
                    Err(what) => match self.failed(&what) {
                        Some(rest) => tokio::time::sleep(rest.saturating_sub(begun.elapsed())).await,
                        None => {
                            self.hub.list(Scope::Failed, Vec::new());
                            break;
                        }
                    },
                }
            }
        }
    }

    /// A call failed: how long after its beginning the next one is made; `None` where the decisions say that.
    fn failed(&mut self, what: &str) -> Option<Duration> {
        if !std::mem::replace(&mut self.silent, !self.pace.asked) {
            tracing::warn!("discovery: {what}");
        }
        // Guards against asking for the same malformed changes for ever.
        if what.starts_with(MALFORMED) {
            self.generation = None;
        }
        // Guards against a back-off that outlasts the time in which a new discovery counts as having told.
        if self.moved.is_some_and(|moved| moved.elapsed() < MOVE) {
            return Some(MOVE_WAIT);
        }
        (!self.pace.asked).then_some(REST)
    }

    async fn call(&self) -> Result<List, String> {
        let address = self.address;
        let (url, wait) = match self.generation {
            Some(since) => {
                let wait = self.pace.wait.as_millis();
                (format!("http://{address}/v1/servers?since={since}&timeout_ms={wait}"), self.pace.wait)
            }
            None => (format!("http://{address}/v1/servers"), Duration::ZERO),
        };
        let exchange = async {
            let mut response =
                self.client.get(url).send().await.map_err(|error| format!("call failed: {error}"))?;
            if response.status() != 200 {
                return Err(format!("call answered {}", response.status().as_u16()));
            }
            response.body().limit(MOST_LIST).await.map_err(|error| format!("answer broke off: {error}"))
        };
        let body = tokio::time::timeout(wait + self.pace.lost, exchange)
            .await
            .map_err(|_| "no answer in time")??;
        let json = serde_json::from_slice(&body).map_err(|error| format!("{MALFORMED}: {error}"))?;
        read_list(&json, &self.config.zones, |id| self.number(id))
            .map_err(|what| format!("{MALFORMED}: {what}"))
    }

    fn number(&self, id: &str) -> NodeId {
        let backs: &Backs = self.hub.backs();
        backs.names.node(id)
    }

    fn tell(&mut self, scope: Scope, list: List) {
        self.generation = Some(list.generation);
        let hub = Rc::clone(&self.hub);
        let own = self.own();
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
