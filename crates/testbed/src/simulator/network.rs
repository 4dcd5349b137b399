//! The network of a [`Simulator`]: attempts on cached and new connections, from a head to a backend and back.

use super::event::{Event, WireEnd};
use super::injected_bug::InjectedBug;
use super::state::{BackendAttempt, START, Simulator, machine_of};
use crate::auditor::{ExecutionProof, Ticket};
use crate::model::simulated_backend::{AdmissionVerdict, BackendRequest};
use rand::RngExt;
use sedgerun_dispatch::AttemptResult;
use sedgerun_policy::{AttemptEnd, BackendId, Micros, Readiness, RequestId};

/// Heads reuse connections for this part (in microseconds a second) of the time that idle ones are kept.
const REUSE_WITHIN: f64 = 0.6e6;
/// Marks the token of an attempt that an injected bug sends again.
const SENT_AGAIN: u64 = 1 << 41;

impl Simulator<'_> {
    /// The ticket of the request behind a head's attempt.
    pub(super) fn ticket(&self, attempt: u32) -> Ticket {
        u64::from(self.attempts[attempt as usize].client_attempt)
    }

    /// The time from a head to a backend, or back.
    pub(super) fn hop(&mut self, head: usize, backend: BackendId) -> Micros {
        let position = self.machines[machine_of(backend)].position;
        let jitter = (self.scenario.network.jitter_ms * 1e3) as Micros;
        let jitter = if jitter > 0 { self.random.random_range(0..jitter) } else { 0 };
        self.latencies[head * self.machine_at.len() + position] + jitter
    }

    /// A head sends an attempt, on an idle connection where it has one.
    pub(super) fn send_attempt(
        &mut self,
        head: usize,
        request: RequestId,
        number: u8,
        backend: BackendId,
        client_attempt: u32,
    ) {
        let attempt = self.attempts.len() as u32;
        let incarnation = self.heads[head].incarnation;
        let hop = self.hop(head, backend);
        let is_new = !self.take_idle_connection(head, backend);
        self.attempts.push(BackendAttempt {
            head: head as u16,
            incarnation,
            request,
            number,
            client_attempt,
            backend,
            is_cancelled: false,
            on_new_connection: is_new,
            is_connected: !is_new,
            epoch: self.machines[machine_of(backend)].epoch,
        });
        self.heads[head].in_flight.insert((request, number), attempt);
        self.figures.attempts += 1;
        self.auditor.attempt_sent(self.now, u64::from(client_attempt), u64::from(attempt), backend);
        // A new connection takes a round trip before its first byte.
        let connect_time = if is_new { 2 * hop } else { 0 };
        self.schedule(self.now + connect_time + hop, Event::AttemptAtBackend(attempt));
    }

    /// Takes an idle connection to a backend, if there is one; closes those that were idle for too long.
    fn take_idle_connection(&mut self, head: usize, backend: BackendId) -> bool {
        let now = self.now;
        let reuse_within = (self.scenario.network.idle_s * REUSE_WITHIN) as Micros;
        let idle = self.heads[head].idle_connections.entry(backend).or_default();
        let before = idle.len();
        idle.retain(|last_used| now.saturating_sub(*last_used) < reuse_within);
        let closed = (before - idle.len()) as u64;
        let is_there = idle.pop().is_some();
        let machine = &mut self.machines[machine_of(backend)];
        machine.connections = machine.connections.saturating_sub(closed);
        is_there
    }

    /// An attempt reaches its backend: what its connection makes of it, and then the backend.
    pub(super) fn on_attempt_at_backend(&mut self, index: u32) {
        let attempt = self.attempts[index as usize];
        let hop = self.hop(usize::from(attempt.head), attempt.backend);
        let machine = &mut self.machines[machine_of(attempt.backend)];
        // What was on its way to a process that has ended meanwhile was reset with it.
        if machine.epoch != attempt.epoch {
            return;
        }
        let is_new = attempt.on_new_connection;
        if machine.is_silent {
            if is_new {
                let timeout = (self.scenario.network.dial_ms * 1e3) as Micros;
                self.schedule(self.now + timeout, Event::AttemptEnd(index, WireEnd::ConnectFailed));
            }
            return;
        }
        let is_down = machine.backend.is_none();
        if is_new && (is_down || machine.connections >= self.parameters.max_connections) {
            return self.schedule(self.now + hop, Event::AttemptEnd(index, WireEnd::ConnectFailed));
        }
        if is_down {
            return self.schedule(self.now + hop, Event::AttemptEnd(index, WireEnd::Reset));
        }
        if is_new && attempt.is_cancelled {
            // The connection was closed before anything was sent on it.
            return;
        }
        if is_new {
            machine.connections += 1;
            self.figures.handshakes += 1;
            self.attempts[index as usize].is_connected = true;
        }
        self.hand_to_backend(index, hop);
    }

    /// The backend admits or rejects an attempt, or fails from it.
    fn hand_to_backend(&mut self, index: u32, hop: Micros) {
        let attempt = self.attempts[index as usize];
        let (place, now) = (machine_of(attempt.backend), self.now);
        self.advance_machine(place);
        let arrival = self.arrival(attempt.client_attempt);
        let position = self.machines[place].position;
        self.figures.count_attempt(now - START, position);
        let shard = self.shard_of(arrival.placement);
        let shard = shard.filter(|_| self.bug != Some(InjectedBug::FloodLastStarted));
        let is_elsewhere = shard.is_some_and(|shard| shard != self.drawn.backends[position].shard);
        let request = BackendRequest {
            token: u64::from(index),
            work: arrival.work,
            key: arrival.key,
            is_first_attempt: attempt.number == 0,
            is_write: !self.scenario.classes[usize::from(arrival.class)].is_idempotent,
            needs_handshake: attempt.on_new_connection,
        };
        let machine = &mut self.machines[place];
        let Some(backend) = &mut machine.backend else { return };
        let verdict = if machine.readiness != Readiness::Ready || is_elsewhere {
            AdmissionVerdict::Rejected
        } else {
            backend.admit(now, request)
        };
        if backend.has_failed() {
            self.auditor.backend_failed(now, attempt.backend);
            return self.fail_machine(place);
        }
        match verdict {
            AdmissionVerdict::Rejected => {
                self.schedule(now + hop, Event::AttemptEnd(index, WireEnd::Rejected));
            }
            AdmissionVerdict::Admitted => {
                self.auditor.request_begun(now, u64::from(attempt.client_attempt));
                self.arm_machine(place);
            }
        }
    }

    /// The end of an attempt reaches its head.
    pub(super) fn on_attempt_end(&mut self, index: u32, end: AttemptEnd) {
        let attempt = self.attempts[index as usize];
        let head = usize::from(attempt.head);
        let key = (attempt.request, attempt.number);
        if self.heads[head].incarnation != attempt.incarnation
            || self.heads[head].in_flight.get(&key) != Some(&index)
        {
            return;
        }
        self.heads[head].in_flight.remove(&key);
        let ticket = u64::from(attempt.client_attempt);
        let never_ran = matches!(end, AttemptEnd::Rejected | AttemptEnd::ConnectFailed);
        let proof = if never_ran { ExecutionProof::NeverRan } else { ExecutionProof::MayHaveRun };
        self.auditor.attempt_ended(ticket, u64::from(index), proof);
        if matches!(end, AttemptEnd::Ok | AttemptEnd::Rejected | AttemptEnd::Error) {
            self.heads[head].idle_connections.entry(attempt.backend).or_default().push(self.now);
        }
        if self.bug == Some(InjectedBug::WriteAgain) && end == AttemptEnd::Reset {
            let again = u64::from(index) | SENT_AGAIN;
            self.auditor.attempt_sent(self.now, ticket, again, attempt.backend);
            self.auditor.attempt_ended(ticket, again, ExecutionProof::MayHaveRun);
        }
        let response = (end == AttemptEnd::Ok).then_some(ticket);
        let result = AttemptResult { response, ..AttemptResult::without_response(end) };
        self.with_dispatcher(head, |dispatcher, now| {
            dispatcher.attempt_ended(now, attempt.request, attempt.number, result);
        });
    }

    /// A head closes the connection of an attempt.
    pub(super) fn cancel_attempt(&mut self, index: u32) {
        self.attempts[index as usize].is_cancelled = true;
        let attempt = self.attempts[index as usize];
        let hop = self.hop(usize::from(attempt.head), attempt.backend);
        self.schedule(self.now + hop, Event::AttemptCancelled(index));
    }

    /// A backend sees that a connection was closed before its answer.
    pub(super) fn on_attempt_cancelled(&mut self, index: u32) {
        let attempt = self.attempts[index as usize];
        let machine = &mut self.machines[machine_of(attempt.backend)];
        if attempt.epoch != machine.epoch {
            return;
        }
        machine.connections = machine.connections.saturating_sub(u64::from(attempt.is_connected));
        if let Some(backend) = &mut machine.backend {
            backend.cancel(u64::from(index));
        }
    }
}
