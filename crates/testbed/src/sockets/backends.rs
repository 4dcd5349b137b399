//! Emulated backends: the model of a backend in real time, whatever protocol its requests come over. The addresses of a
//! backend stay the same over all its processes.

use super::test_bed::TestBed;
use crate::auditor::{ExecutionProof, Ticket};
use crate::drawn_scenario::types::Placement;
use crate::model::backend_parameters::BackendParameters;
use crate::model::simulated_backend::{AdmissionVerdict, BackendRequest, SimulatedBackend};
use sedgerun_policy::{BackendId, Micros, Readiness};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// A running process of a backend. Dropped, its tasks end, and with them its connections.
struct BackendProcess {
    model: SimulatedBackend,
    /// Who waits for the end of the work of each attempt.
    waiting: HashMap<u64, oneshot::Sender<()>>,
    connections: Rc<Cell<u64>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for BackendProcess {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// An open connection; it counts until it is dropped.
pub struct ConnectionGuard(Rc<Cell<u64>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A backend at its position.
pub struct EmulatedBackend {
    test_bed: Rc<TestBed>,
    position: usize,
    parameters: BackendParameters,
    /// Where it listens for HTTP.
    pub http: SocketAddr,
    /// Where it listens for 9P.
    pub ninep: SocketAddr,
    number: Cell<u64>,
    /// When its process started, in the time of the test run; none: long ago.
    pub started_at: Cell<Option<Micros>>,
    /// What the endpoint list says of it.
    pub readiness: Cell<Readiness>,
    is_silent: Cell<bool>,
    process: RefCell<Option<BackendProcess>>,
    model_changed: Notify,
    silence_over: Notify,
}

/// What became of an attempt at a backend.
pub enum AttemptVerdict {
    /// It ran to its end.
    Served,
    /// It was rejected, and never ran.
    Rejected,
}

/// An attempt that is at a backend. Dropped before its end, its sender has given it up.
struct AttemptGuard {
    backend: Rc<EmulatedBackend>,
    ticket: Ticket,
    token: u64,
    is_done: bool,
}

impl AttemptGuard {
    /// The attempt has ended in order.
    fn finish(mut self, proof: ExecutionProof) {
        self.is_done = true;
        self.backend.test_bed.note_attempt_end(self.ticket, self.token, proof);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_done {
            if let Some(process) = self.backend.process.borrow_mut().as_mut() {
                process.waiting.remove(&self.token);
                process.model.cancel(self.token);
            }
            self.backend.test_bed.note_attempt_end(self.ticket, self.token, ExecutionProof::MayHaveRun);
        }
    }
}

impl EmulatedBackend {
    /// A backend at a position and at its addresses, without a process.
    pub fn new(
        test_bed: Rc<TestBed>,
        position: usize,
        http: SocketAddr,
        ninep: SocketAddr,
    ) -> Rc<EmulatedBackend> {
        Rc::new(EmulatedBackend {
            parameters: BackendParameters::new(&test_bed.scenario),
            position,
            http,
            ninep,
            number: Cell::new(position as u64 + 1),
            started_at: Cell::new(None),
            readiness: Cell::new(Readiness::Ready),
            is_silent: Cell::new(false),
            process: RefCell::default(),
            model_changed: Notify::new(),
            silence_over: Notify::new(),
            test_bed,
        })
    }

    /// Its number, which is new with each backend that replaces it.
    pub fn id(&self) -> BackendId {
        BackendId(self.number.get())
    }

    /// Its name on the endpoint list.
    pub fn name(&self) -> String {
        format!("b{}", self.number.get())
    }

    /// The shard that it serves.
    pub fn shard(&self) -> u32 {
        self.test_bed.drawn.backends[self.position].shard
    }

    /// Another backend takes its place from now on.
    pub fn renumber(&self, number: u64) {
        self.number.set(number);
    }

    /// Whether a process runs.
    pub fn is_up(&self) -> bool {
        self.process.borrow().is_some()
    }

    /// Its process starts now, and warms up; or it has long been running.
    pub fn begin_process(&self, just_started: bool) {
        let now = self.test_bed.now();
        if just_started {
            self.started_at.set(Some(now));
        }
        let seed =
            self.test_bed.seed ^ ((self.position as u64 + 1) << 32) ^ if just_started { now } else { 0 };
        let spec = self.test_bed.drawn.backends[self.position].clone();
        let model = SimulatedBackend::new(spec, self.parameters.clone(), now, just_started, seed);
        let process =
            BackendProcess { model, waiting: HashMap::new(), connections: Rc::default(), tasks: Vec::new() };
        *self.process.borrow_mut() = Some(process);
    }

    /// A task ends with the present process.
    pub fn add_task(&self, task: AbortHandle) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            process.tasks.retain(|task| !task.is_finished());
            process.tasks.push(task);
        }
    }

    /// Counts a new connection. Guards against sending more than a backend's table holds: none past its most.
    pub fn open_connection(&self) -> Option<ConnectionGuard> {
        let connections = Rc::clone(&self.process.borrow().as_ref()?.connections);
        if connections.get() >= self.parameters.max_connections {
            return None;
        }
        connections.set(connections.get() + 1);
        self.test_bed.figures.borrow_mut().handshakes += 1;
        Some(ConnectionGuard(connections))
    }

    /// Its process ends: its connections break, and new ones are refused.
    pub fn end_process(&self) {
        self.note_peak();
        // Tasks that are dropped note the end of their attempts, for which the process must not be borrowed.
        let process = self.process.borrow_mut().take();
        drop(process);
    }

    /// Counts the most that it was sent while it warmed up.
    pub fn note_peak(&self) {
        let peak = self.process.borrow().as_ref().map_or(0, |process| process.model.peak_load());
        let mut figures = self.test_bed.figures.borrow_mut();
        figures.warm_up_peak = figures.warm_up_peak.max(peak);
    }

    /// It answers nobody, or answers again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.set(is_silent);
        if !is_silent {
            self.silence_over.notify_waiters();
        }
    }

    /// Changes how it runs.
    pub fn adjust(&self, adjust: impl FnOnce(&mut SimulatedBackend)) {
        self.advance();
        if let Some(process) = self.process.borrow_mut().as_mut() {
            adjust(&mut process.model);
        }
        self.model_changed.notify_one();
    }

    /// Brings the model to the present, and notifies those whose work is done.
    fn advance(&self) {
        let mut process = self.process.borrow_mut();
        let Some(process) = process.as_mut() else { return };
        for token in process.model.advance(self.test_bed.now()) {
            if let Some(waiting) = process.waiting.remove(&token) {
                let _ = waiting.send(());
            }
        }
    }

    /// Advances the model at its own times, over all processes.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let next = self.process.borrow().as_ref().and_then(|process| process.model.next_change());
            match next {
                Some(next) => tokio::select! {
                    () = self.test_bed.sleep_until(next) => {}
                    () = self.model_changed.notified() => {}
                },
                None => self.model_changed.notified().await,
            }
            self.advance();
        }
    }

    /// While it is silent nothing happens here; after that the connection breaks.
    pub async fn wait_while_silent(&self) -> io::Result<()> {
        if self.is_silent.get() {
            self.silence_over.notified().await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    /// Runs one attempt. Dropping the future cancels it.
    pub async fn attempt(self: Rc<Self>, ticket: Ticket, needs_handshake: bool) -> AttemptVerdict {
        let test_bed = Rc::clone(&self.test_bed);
        let token = test_bed.new_token();
        let is_first_attempt = test_bed.note_attempt(ticket, token, self.id());
        test_bed.figures.borrow_mut().count_attempt(test_bed.now(), self.position);
        let guard = AttemptGuard { backend: Rc::clone(&self), ticket, token, is_done: false };
        let Some(index) = test_bed.arrival_of(ticket) else { return AttemptVerdict::Rejected };
        let arrival = &test_bed.drawn.arrivals[index as usize];
        let request = BackendRequest {
            token,
            work: arrival.work,
            key: arrival.key,
            is_first_attempt,
            is_write: !test_bed.scenario.classes[usize::from(arrival.class)].is_idempotent,
            needs_handshake,
        };
        let Some(done) = self.admit(arrival.placement, request) else {
            guard.finish(ExecutionProof::NeverRan);
            return AttemptVerdict::Rejected;
        };
        test_bed.auditor.borrow_mut().request_begun(test_bed.now(), ticket);
        if done.await.is_err() {
            // The process ends under it: whoever holds the connection is ended with it.
            std::future::pending::<()>().await;
        }
        if arrival.placement == Placement::NewObject {
            test_bed.note_written_shard(index, self.shard());
        }
        // One that is silent by now tells nobody that it has run.
        if self.is_silent.get() {
            std::future::pending::<()>().await;
        }
        guard.finish(ExecutionProof::MayHaveRun);
        AttemptVerdict::Served
    }

    /// Hands a request to the model; none where it is rejected, otherwise what resolves when its work is done.
    fn admit(&self, placement: Placement, request: BackendRequest) -> Option<oneshot::Receiver<()>> {
        let shard = self.test_bed.shard_of(placement);
        let is_here = shard.is_none_or(|shard| shard == self.shard());
        self.advance();
        let now = self.test_bed.now();
        let (sender, done) = oneshot::channel();
        let mut has_failed = false;
        let mut verdict = AdmissionVerdict::Rejected;
        if let Some(process) = self.process.borrow_mut().as_mut() {
            if self.readiness.get() == Readiness::Ready && is_here {
                process.waiting.insert(request.token, sender);
                verdict = process.model.admit(now, request);
            }
            has_failed = process.model.has_failed();
        }
        if has_failed {
            self.test_bed.auditor.borrow_mut().backend_failed(now, self.id());
        }
        self.model_changed.notify_one();
        (verdict == AdmissionVerdict::Admitted).then_some(done)
    }
}
