//! The clients of a [`Simulator`]: requests that are sent at their times whatever became of others, their retries, and
//! their results.

use super::event::Event;
use super::injected_bug::InjectedBug;
use super::state::{AnswerToClient, CLIENT_HOP, ClientAttempt, Packet, START, Simulator};
use crate::auditor::AnswerKind;
use crate::drawn_scenario::types::{Arrival, Placement};
use crate::figures::{RequestRecord, RequestResult};
use crate::random::within;
use crate::scenario::RetryPolicy;
use sedgerun_dispatch::RequestSpec;
use sedgerun_policy::Micros;

impl Simulator<'_> {
    /// A request is sent, and the next one is scheduled.
    pub(super) fn on_arrival(&mut self, index: u32) {
        if let Some(next) = self.drawn.arrivals.get(index as usize + 1) {
            self.schedule(START + next.at, Event::Arrival(index + 1));
        }
        let arrival = &self.drawn.arrivals[index as usize];
        let deadline = self.drawn.settings.classes[usize::from(arrival.class)].timeout;
        self.begin_attempt(index, false, START + arrival.at + deadline, self.now);
    }

    fn begin_attempt(&mut self, arrival: u32, is_retry: bool, deadline: Micros, at: Micros) {
        let client_attempt = self.client_attempts.len() as u32;
        self.client_attempts.push(ClientAttempt {
            arrival,
            is_retry,
            deadline,
            request: None,
            answer: None,
            is_over: false,
        });
        self.figures.retries += u64::from(is_retry);
        self.schedule(at + CLIENT_HOP, Event::ClientRequest(client_attempt));
        self.schedule(deadline, Event::ClientDeadline(client_attempt));
    }

    /// A client's attempt reaches its head.
    pub(super) fn on_client_request(&mut self, client_attempt: u32) {
        let arrival = self.arrival(client_attempt);
        let head = usize::from(arrival.head);
        let deadline = self.client_attempts[client_attempt as usize].deadline;
        if self.heads[head].dispatcher.is_none() {
            return self.answer_client(client_attempt, RequestResult::Lost);
        }
        let spec = self.request_spec(arrival, deadline);
        let is_idempotent = self.scenario.classes[spec.class].is_idempotent;
        self.auditor.request_accepted(u64::from(client_attempt), head, deadline, is_idempotent);
        if self.bug == Some(InjectedBug::StarveVolume) && arrival.volume == 0 {
            return self.answer_client(client_attempt, RequestResult::Rejected);
        }
        let (now, state) = (self.now, &mut self.heads[head]);
        let Some(dispatcher) = &mut state.dispatcher else { return };
        match dispatcher.submit(now, spec, Packet { client_attempt }) {
            Some(id) => {
                state.open_requests.insert(id, client_attempt);
                self.client_attempts[client_attempt as usize].request = Some(id);
                self.carry_out_effects(head);
            }
            None => self.answer_client(client_attempt, RequestResult::Rejected),
        }
    }

    fn request_spec(&self, arrival: &Arrival, deadline: Micros) -> RequestSpec {
        let volume = &self.drawn.volumes[arrival.volume as usize];
        RequestSpec {
            class: usize::from(arrival.class),
            plan: volume.plan,
            key: arrival.key,
            deadline,
            volume: volume.id,
            units: f64::from(arrival.units),
            shard: self.shard_of(arrival.placement),
            volume_heads: volume.heads.len() as f64,
        }
    }

    /// An answer without a response is on its way to its client.
    pub(super) fn answer_client(&mut self, client_attempt: u32, result: RequestResult) {
        let answer = AnswerToClient { result, ticket: u64::from(client_attempt), retry_after: 0 };
        self.client_attempts[client_attempt as usize].answer = Some(answer);
        self.schedule(self.now + CLIENT_HOP, Event::FinalAnswer(client_attempt));
    }

    /// A final answer reaches its client, which retries or is done.
    pub(super) fn on_final_answer(&mut self, client_attempt: u32) {
        let Some(answer) = self.client_attempts[client_attempt as usize].answer else { return };
        let arrival = self.arrival(client_attempt);
        let class = &self.drawn.settings.classes[usize::from(arrival.class)];
        let latency = self.now - START - arrival.at;
        let is_past_objective = answer.result == RequestResult::InTime && latency > class.latency_objective;
        let result = if is_past_objective { RequestResult::PastObjective } else { answer.result };
        let is_served = matches!(result, RequestResult::InTime | RequestResult::PastObjective);
        if result != RequestResult::Lost {
            let kind = if is_served { AnswerKind::Served(answer.ticket) } else { AnswerKind::NotServed };
            self.auditor.answered(self.now, u64::from(client_attempt), kind);
        }
        let attempt = &mut self.client_attempts[client_attempt as usize];
        if std::mem::replace(&mut attempt.is_over, true) {
            return;
        }
        let attempt = *attempt;
        let is_idempotent = self.scenario.classes[usize::from(arrival.class)].is_idempotent;
        let may_retry =
            !is_served && !attempt.is_retry && (result == RequestResult::Rejected || is_idempotent);
        let wait = self.retry_wait(answer.retry_after).filter(|_| may_retry);
        match wait.map(|wait| self.now + wait) {
            Some(at) if at + class.latency_objective / 4 < attempt.deadline => {
                self.begin_attempt(attempt.arrival, true, attempt.deadline, at);
            }
            _ => self.record(arrival, result, latency),
        }
    }

    /// How long a client waits before a retry; none where it does not retry.
    fn retry_wait(&mut self, retry_after: Micros) -> Option<Micros> {
        match self.scenario.clients.retry {
            RetryPolicy::None => None,
            RetryPolicy::AtOnce => Some(0),
            RetryPolicy::Wait => {
                let own = (within(&mut self.random, self.scenario.clients.retry_ms) * 1e3) as Micros;
                Some(own.max(retry_after))
            }
        }
    }

    /// The deadline of a client's attempt passes: the client disconnects, if it still waits.
    pub(super) fn on_client_deadline(&mut self, client_attempt: u32) {
        let attempt = &mut self.client_attempts[client_attempt as usize];
        if std::mem::replace(&mut attempt.is_over, true) {
            return;
        }
        let request = attempt.request;
        let arrival = self.arrival(client_attempt);
        let head = usize::from(arrival.head);
        if let Some(id) = request
            && self.heads[head].open_requests.get(&id) == Some(&client_attempt)
        {
            self.heads[head].open_requests.remove(&id);
            self.with_dispatcher(head, |dispatcher, now| dispatcher.client_disconnected(now, id));
        }
        self.record(arrival, RequestResult::NoAnswer, self.now - START - arrival.at);
    }

    /// Counts a request at its end.
    fn record(&mut self, arrival: &Arrival, result: RequestResult, latency: Micros) {
        let plan = self.drawn.volumes[arrival.volume as usize].plan;
        let (at, class, units) = (arrival.at, usize::from(arrival.class), arrival.units);
        let record = RequestRecord { at, class, plan, units, result, latency };
        self.figures.count_request(self.scenario, &record);
        let in_time = result == RequestResult::InTime;
        // New objects may go anywhere: no shard owes them anything.
        if let Some(shard) = self.shard_of(arrival.placement) {
            self.auditor.count_usage(at, arrival.volume, shard, f64::from(units), in_time);
        }
    }

    /// The shard that a request belongs to; none where any will do.
    pub(super) fn shard_of(&self, placement: Placement) -> Option<u32> {
        match placement {
            Placement::Shard(shard) => Some(shard),
            Placement::NewObject => None,
            Placement::WithWrite(arrival, shard) => {
                Some(self.written_shards.get(&arrival).copied().unwrap_or(shard))
            }
        }
    }
}
