//! The discovery server on sockets: the same model of delays and breaks as in the simulator, behind the platform's
//! protocol, with a listener for each head.

use super::backends::EmulatedBackend;
use super::test_bed::{TestBed, own_address};
use crate::http::HttpConnection;
use crate::model::discovery_server::{DiscoveryServer, EndpointUpdate};
use sedgerun_policy::{BackendId, Endpoint, Micros, Readiness, UpdateScope};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Backends that replace others get numbers from here on, above those of all positions.
const FIRST_REPLACEMENT: u64 = 10_000;
/// How long a call waits for a change, ms: by default, and at most.
const DEFAULT_WAIT_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 60_000;

/// What has reached one head, and what it has not yet fetched.
#[derive(Debug, Default)]
struct HeadView {
    version: u64,
    changes: Vec<(u64, Endpoint)>,
    complete_list: Option<Vec<Endpoint>>,
    has_failed: bool,
}

/// The answer to a call of a head.
enum DiscoveryAnswer {
    /// A list or changes.
    Body(Value),
    /// The call fails.
    Unavailable,
}

/// The discovery server of a test run.
pub struct DiscoveryService {
    test_bed: Rc<TestBed>,
    model: RefCell<DiscoveryServer>,
    views: RefCell<Vec<HeadView>>,
    addresses: RefCell<BTreeMap<BackendId, (String, SocketAddr)>>,
    model_changed: Notify,
    updated: Notify,
    next_replacement: Cell<u64>,
    /// Unix time of the beginning of the test run, ms.
    begun_unix_ms: u64,
    listeners: RefCell<Vec<SocketAddr>>,
}

fn endpoint(backend: &EmulatedBackend) -> Endpoint {
    Endpoint {
        backend: backend.id(),
        shard: backend.shard(),
        zone: 0,
        started_at: backend.started_at.get().map_or(0, |at| at.max(1)),
        readiness: backend.readiness.get(),
    }
}

fn unix_ms_at_begin(test_bed: &TestBed) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let ahead = test_bed.begun.saturating_duration_since(tokio::time::Instant::now());
    now + ahead.as_millis() as u64
}

impl DiscoveryService {
    /// A server that lists these backends.
    pub async fn start(
        test_bed: Rc<TestBed>,
        backends: &[Rc<EmulatedBackend>],
    ) -> io::Result<Rc<DiscoveryService>> {
        let first: Vec<Endpoint> = backends.iter().map(|backend| endpoint(backend)).collect();
        let heads = test_bed.scenario.heads as usize;
        let model = DiscoveryServer::new(heads, &first, test_bed.scenario.list_delay_s, test_bed.seed);
        let views = (0..heads).map(|_| HeadView { version: 1, ..HeadView::default() }).collect();
        let addresses = backends.iter().map(|backend| (backend.id(), (backend.name(), backend.http)));
        let service = Rc::new(DiscoveryService {
            model: RefCell::new(model),
            views: RefCell::new(views),
            addresses: RefCell::new(addresses.collect()),
            model_changed: Notify::new(),
            updated: Notify::new(),
            next_replacement: Cell::new(FIRST_REPLACEMENT),
            begun_unix_ms: unix_ms_at_begin(&test_bed),
            listeners: RefCell::default(),
            test_bed,
        });
        for head in 0..heads {
            let listener = TcpListener::bind((own_address(), 0)).await?;
            service.listeners.borrow_mut().push(listener.local_addr()?);
            tokio::task::spawn_local(Rc::clone(&service).listen(listener, head));
        }
        tokio::task::spawn_local(Rc::clone(&service).drive());
        Ok(service)
    }

    /// Where a head finds it.
    pub fn address(&self, head: usize) -> SocketAddr {
        self.listeners.borrow()[head]
    }

    /// The list as a head that starts has it cached, in discovery's form.
    pub fn cached_list(&self, head: usize) -> Value {
        let mut model = self.model.borrow_mut();
        let endpoints = model.cached_list(head);
        model.resume(head);
        self.test_bed.auditor.borrow_mut().head_restarted(head);
        let version = self.views.borrow()[head].version;
        self.list_body(version, true, &endpoints)
    }

    /// The readiness of a backend changes.
    pub fn change(&self, backend: &EmulatedBackend, readiness: Readiness) {
        backend.readiness.set(readiness);
        self.model.borrow_mut().change(self.test_bed.now(), &endpoint(backend));
        self.model_changed.notify_one();
    }

    /// Another backend takes the address of this one.
    pub fn renumber(&self, backend: &EmulatedBackend) {
        backend.renumber(self.next_replacement.replace(self.next_replacement.get() + 1));
        self.addresses.borrow_mut().insert(backend.id(), (backend.name(), backend.http));
    }

    /// Changes are delayed by so much more, us.
    pub fn set_extra_delay(&self, delay: Micros) {
        self.model.borrow_mut().set_extra_delay(delay);
    }

    /// It is down, or back.
    pub fn set_down(&self, is_down: bool) {
        self.model.borrow_mut().set_down(self.test_bed.now(), is_down);
        self.model_changed.notify_one();
    }

    /// Lets updates through when they have come to their time.
    async fn drive(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next_delivery();
            match next {
                Some(next) => tokio::select! {
                    () = tokio::time::sleep_until(self.test_bed.instant(next)) => {}
                    () = self.model_changed.notified() => {}
                },
                None => self.model_changed.notified().await,
            }
            for update in self.model.borrow_mut().take_due(self.test_bed.now()) {
                self.views.borrow_mut()[update.head].apply(update);
            }
            self.updated.notify_waiters();
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, head: usize) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::task::spawn_local(Rc::clone(&self).serve(stream, head));
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, head: usize) {
        let mut connection = HttpConnection::new(stream);
        while let Ok(Some(request)) = connection.read(false).await {
            let written = match self.answer(head, &request.target).await {
                DiscoveryAnswer::Body(body) => connection.answer("200 OK", "", &body.to_string()).await,
                DiscoveryAnswer::Unavailable => connection.answer("503 Service Unavailable", "", "").await,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Answers a call, which may wait for a change.
    async fn answer(&self, head: usize, target: &str) -> DiscoveryAnswer {
        // A watch that broke cannot go on: nobody was notified of what came in between.
        let since = query_number(target, "since").filter(|_| self.model.borrow().is_watching(head));
        if since.is_none() {
            let mut views = self.views.borrow_mut();
            (views[head].complete_list, views[head].has_failed) = (None, false);
            self.model.borrow_mut().watch(self.test_bed.now(), head);
            self.model_changed.notify_one();
        }
        let wait_ms = query_number(target, "timeout_ms").unwrap_or(DEFAULT_WAIT_MS).min(MAX_WAIT_MS);
        let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            // Registered before the check, so that updates in between are not missed.
            let updated = self.updated.notified();
            if let Some(answer) = self.ready_answer(head, since) {
                return answer;
            }
            if tokio::time::timeout_at(end, updated).await.is_err() {
                let version = self.views.borrow()[head].version;
                return DiscoveryAnswer::Body(self.list_body(version, false, &[]));
            }
        }
    }

    /// What a call is answered with now, if anything.
    fn ready_answer(&self, head: usize, since: Option<u64>) -> Option<DiscoveryAnswer> {
        let now = self.test_bed.now();
        let mut views = self.views.borrow_mut();
        let view = &mut views[head];
        if std::mem::take(&mut view.has_failed) {
            return Some(DiscoveryAnswer::Unavailable);
        }
        let mut auditor = self.test_bed.auditor.borrow_mut();
        let Some(since) = since else {
            let endpoints = view.complete_list.take()?;
            let list: Vec<(BackendId, Readiness)> =
                endpoints.iter().map(|one| (one.backend, one.readiness)).collect();
            let known: Vec<BackendId> = self.addresses.borrow().keys().copied().collect();
            auditor.head_notified_of_list(now, head, &list, &known);
            return Some(DiscoveryAnswer::Body(self.list_body(view.version, true, &endpoints)));
        };
        if view.version <= since {
            return None;
        }
        let changed = view.changes.iter().filter(|(version, _)| *version > since);
        let endpoints: Vec<Endpoint> = changed.map(|(_, endpoint)| endpoint.clone()).collect();
        endpoints.iter().for_each(|one| auditor.head_notified(now, head, one.backend, one.readiness));
        Some(DiscoveryAnswer::Body(self.list_body(view.version, false, &endpoints)))
    }

    fn list_body(&self, version: u64, is_complete: bool, endpoints: &[Endpoint]) -> Value {
        let addresses = self.addresses.borrow();
        let known = endpoints.iter().filter_map(|one| Some((one, addresses.get(&one.backend)?)));
        let instances: Vec<Value> =
            known.map(|(endpoint, (name, address))| self.instance(endpoint, name, *address)).collect();
        json!({"generation": version, "reset": is_complete, "instances": instances})
    }

    /// An endpoint in discovery's form.
    fn instance(&self, endpoint: &Endpoint, name: &str, address: SocketAddr) -> Value {
        let started_ms =
            if endpoint.started_at > 0 { self.begun_unix_ms + endpoint.started_at / 1000 } else { 0 };
        let lifecycle = match endpoint.readiness {
            Readiness::Ready => "ready",
            Readiness::Draining => "draining",
            Readiness::Removed => "gone",
        };
        json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m",
            "cell": endpoint.shard, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_ms})
    }
}

impl HeadView {
    fn apply(&mut self, update: EndpointUpdate) {
        match update.scope {
            UpdateScope::Full => self.complete_list = Some(update.endpoints),
            UpdateScope::Failed => self.has_failed = true,
            UpdateScope::Delta | UpdateScope::Cached => {
                self.version += 1;
                let version = self.version;
                self.changes.extend(update.endpoints.into_iter().map(|endpoint| (version, endpoint)));
            }
        }
    }
}

/// A number of a target's query.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let value = target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value?.parse().ok()
}
