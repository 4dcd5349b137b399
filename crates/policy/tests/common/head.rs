//! A head under test: one controller, driven event by event.

use super::*;

pub struct TestHead {
    controller: Controller,
}

impl TestHead {
    pub fn new(settings: Settings, seed: u64) -> TestHead {
        TestHead { controller: Controller::new(settings, seed) }
    }

    /// One with the usual settings that has its list at 1 s, and what it did then.
    pub fn started(endpoints: Vec<Endpoint>) -> (TestHead, Vec<Action>) {
        let mut head = TestHead::new(settings(), 5);
        let actions = head.list(SECOND, UpdateScope::Full, endpoints);
        (head, actions)
    }

    /// One with the usual settings and one backend, 1 of shard 1, that started long ago.
    pub fn with_one_backend() -> TestHead {
        TestHead::started(vec![ready(1, 1)]).0
    }

    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, now: Micros, scope: UpdateScope, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.handle(now, Event::EndpointList { scope, endpoints })
    }

    pub fn receive(&mut self, now: Micros, request: Request) -> Vec<Action> {
        self.handle(now, Event::Request(request))
    }

    pub fn end_attempt(&mut self, now: Micros, outcome: AttemptOutcome) -> Vec<Action> {
        self.handle(now, Event::AttemptEnded(outcome))
    }

    pub fn end_request(&mut self, now: Micros, id: RequestId) -> Vec<Action> {
        self.handle(now, Event::RequestEnded { id })
    }

    pub fn timer(&mut self, now: Micros, token: u64) -> Vec<Action> {
        self.handle(now, Event::Timer { token })
    }

    /// Sends requests one by one to backend 1 of shard 1, each ending the same way; moves `now` to after the
    /// last.
    pub fn run_one_by_one(
        &mut self,
        now: &mut Micros,
        ids: std::ops::Range<RequestId>,
        end: AttemptEnd,
        latency: Micros,
    ) {
        for id in ids {
            let actions = self.receive(*now, request(id, IDEMPOTENT, Some(1), *now + 2 * SECOND));
            assert_eq!(sends(&actions), [(id, 1)], "request {id} waits with nothing in flight");
            *now += latency;
            self.end_attempt(*now, outcome(id, 0, 1, end, latency));
            *now += MS;
        }
    }

    /// Eight quick responses, one after the other.
    pub fn warm_up(&mut self, now: &mut Micros) {
        self.run_one_by_one(now, 1..9, AttemptEnd::Ok, 20 * MS);
    }

    /// The size of all that the controller holds, as it prints it.
    pub fn state_size(&self) -> usize {
        format!("{:?}", self.controller).len()
    }
}

/// The requests that are sent, each with its backend.
pub fn sends(actions: &[Action]) -> Vec<(RequestId, u64)> {
    let send = |action: &Action| match action {
        Action::Send { id, backend, .. } => Some((*id, backend.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// How many requests are rejected.
pub fn rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}
