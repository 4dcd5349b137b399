//! The heads of a [`Simulator`]: each a dispatcher whose effects are carried out here, and what an injected bug makes
//! of them.

use super::event::Event;
use super::injected_bug::InjectedBug;
use super::state::{AnswerToClient, CLIENT_HOP, Packet, Simulator, backend_of, machine_of};
use crate::auditor::{AnswerKind, ExecutionProof, Ticket};
use crate::figures::RequestResult;
use sedgerun_dispatch::{Dispatcher, Effect, FinalResponse};
use sedgerun_policy::{BackendId, Micros, RequestId, UpdateScope};

/// Injected bugs that act now and then do so once in so many opportunities.
const BUG_ACTS_EVERY: u64 = 50;
/// Marks the token of an attempt that an injected bug sends a second time.
const SECOND_SEND: u64 = 1 << 40;

impl Simulator<'_> {
    /// A head starts, with the endpoint list as it last reached it.
    pub(super) fn start_head(&mut self, head: usize) {
        let state = &mut self.heads[head];
        state.incarnation += 1;
        let seed = self.seed.wrapping_mul(0x9e37_79b9).wrapping_add((head as u64) << 20)
            + u64::from(state.incarnation);
        let most = self.scenario.rules.max_open_requests as usize;
        state.dispatcher = Some(Dispatcher::new(self.drawn.settings.clone(), seed, most));
        state.armed_at = Micros::MAX;
        let cached = self.discovery.cached_list(head);
        self.auditor.head_restarted(head);
        self.with_dispatcher(head, |dispatcher, now| {
            dispatcher.update_endpoints(now, UpdateScope::Cached, cached);
        });
    }

    /// A head is killed: its connections close, and its open requests are lost.
    pub(super) fn stop_head(&mut self, head: usize, restart_after: Micros) {
        let state = &mut self.heads[head];
        if state.dispatcher.take().is_none() {
            return;
        }
        state.incarnation += 1;
        // Connections of a process that has ended close at once; the order in which they do changes nothing.
        for (backend, idle) in state.idle_connections.drain() {
            let machine = &mut self.machines[machine_of(backend)];
            machine.connections = machine.connections.saturating_sub(idle.len() as u64);
        }
        let mut open: Vec<u32> = state.open_requests.drain().map(|(_, open)| open).collect();
        let mut in_flight: Vec<u32> = state.in_flight.drain().map(|(_, attempt)| attempt).collect();
        open.sort_unstable();
        in_flight.sort_unstable();
        for client_attempt in open {
            self.auditor.excuse(u64::from(client_attempt));
            self.answer_client(client_attempt, RequestResult::Lost);
        }
        for attempt in in_flight {
            self.cancel_attempt(attempt);
        }
        self.schedule(self.now + restart_after, Event::HeadStart(head as u16));
    }

    /// Runs the timers of a head, unless the event was overtaken by an earlier one.
    pub(super) fn on_head_timer(&mut self, head: usize, incarnation: u32) {
        let state = &mut self.heads[head];
        if state.incarnation == incarnation && state.armed_at == self.now {
            state.armed_at = Micros::MAX;
            self.with_dispatcher(head, sedgerun_dispatch::Dispatcher::run_expired_timers);
        }
    }

    /// Acts on the dispatcher of a head, if it runs, and carries out what follows.
    pub(super) fn with_dispatcher(
        &mut self,
        head: usize,
        act: impl FnOnce(&mut Dispatcher<Packet, Ticket>, Micros),
    ) {
        let now = self.now;
        if let Some(dispatcher) = &mut self.heads[head].dispatcher {
            act(dispatcher, now);
            self.carry_out_effects(head);
        }
    }

    /// Carries out the effects of a dispatcher, and arms its timer.
    pub(super) fn carry_out_effects(&mut self, head: usize) {
        while let Some(effect) = self.heads[head].dispatcher.as_mut().and_then(Dispatcher::next_effect) {
            match effect {
                Effect::Send { id, attempt, backend, payload, .. } => {
                    self.send(head, id, attempt, backend, payload.client_attempt);
                }
                Effect::Cancel { id, attempt } => {
                    if let Some(attempt) = self.heads[head].in_flight.remove(&(id, attempt)) {
                        let ticket = self.ticket(attempt);
                        let proof = ExecutionProof::MayHaveRun;
                        self.auditor.attempt_ended(ticket, u64::from(attempt), proof);
                        self.cancel_attempt(attempt);
                    }
                }
                Effect::Respond { id, response } => self.send_final_answer(head, id, response),
                Effect::Watch => {
                    self.discovery.watch(self.now, head);
                    self.arm_discovery();
                }
            }
        }
        self.arm_head_timer(head);
    }

    fn send(&mut self, head: usize, id: RequestId, number: u8, backend: BackendId, client_attempt: u32) {
        let is_flood = self.bug == Some(InjectedBug::FloodLastStarted);
        let backend = if is_flood { self.last_started(backend) } else { backend };
        self.send_attempt(head, id, number, backend, client_attempt);
        if self.bug_acts(InjectedBug::SendTwice) {
            let twin = self.attempts.len() as u64 | SECOND_SEND;
            self.auditor.attempt_sent(self.now, u64::from(client_attempt), twin, backend);
        }
    }

    fn arm_head_timer(&mut self, head: usize) {
        let state = &mut self.heads[head];
        if let Some(at) = state.dispatcher.as_ref().and_then(Dispatcher::next_timer)
            && at < state.armed_at
        {
            state.armed_at = at;
            let incarnation = state.incarnation;
            self.schedule(at, Event::HeadTimer { head: head as u16, incarnation });
        }
    }

    fn send_final_answer(&mut self, head: usize, id: RequestId, answer: FinalResponse<Ticket>) {
        let Some(client_attempt) = self.heads[head].open_requests.remove(&id) else { return };
        let (result, mut ticket, retry_after) = match answer {
            FinalResponse::Served(ticket) => (RequestResult::InTime, ticket, 0),
            FinalResponse::Rejected(after) => (RequestResult::Rejected, u64::from(client_attempt), after),
            FinalResponse::Failed => (RequestResult::Failed, u64::from(client_attempt), 0),
        };
        if self.bug_acts(InjectedBug::SwallowAnswer) {
            return;
        }
        if self.bug_acts(InjectedBug::MixAnswers) {
            ticket = ticket.wrapping_add(1);
        }
        if self.bug_acts(InjectedBug::AnswerTwice) {
            self.auditor.answered(self.now, u64::from(client_attempt), AnswerKind::NotServed);
        }
        let answer = AnswerToClient { result, ticket, retry_after };
        self.client_attempts[client_attempt as usize].answer = Some(answer);
        self.schedule(self.now + CLIENT_HOP, Event::FinalAnswer(client_attempt));
    }

    /// Whether an injected bug acts now.
    fn bug_acts(&mut self, bug: InjectedBug) -> bool {
        if self.bug != Some(bug) {
            return false;
        }
        self.bug_opportunities += 1;
        self.bug_opportunities.is_multiple_of(BUG_ACTS_EVERY)
    }

    /// The backend that started last, for the injected flood.
    fn last_started(&self, otherwise: BackendId) -> BackendId {
        let machines = self.machines.iter().enumerate();
        let up = machines.filter(|(_, one)| one.backend.is_some() && one.started_at > 0);
        up.max_by_key(|(_, one)| one.started_at).map_or(otherwise, |(i, _)| backend_of(i))
    }
}
