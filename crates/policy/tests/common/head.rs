//! A head under test: a controller that a test drives event by event.

use super::*;

pub struct TestHead {
    controller: Controller,
}

impl TestHead {
    pub fn new(settings: Settings, seed: u64) -> TestHead {
        TestHead { controller: Controller::new(settings, seed) }
    }

    /// A head with the usual settings that receives its endpoint list at 1 s, and its actions then.
    pub fn started(endpoints: Vec<Endpoint>) -> (TestHead, Vec<Action>) {
        let mut head = TestHead::new(settings(), 5);
        let actions = head.update_endpoints(SECOND, UpdateScope::Full, endpoints);
        (head, actions)
    }

    /// A head with the usual settings and one backend, number 1 with shard 1, that started long ago.
    pub fn with_one_backend() -> TestHead {
        TestHead::started(vec![ready(1, 1)]).0
    }

    /// The number of volumes that it knows, and of the demands that it tracks.
    pub fn tracked_volumes(&self) -> (usize, usize) {
        self.controller.tracked_volumes()
    }

    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        actions
    }

    pub fn update_endpoints(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Action> {
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

    /// Runs requests one after the other at backend 1 of shard 1, each with the same outcome. Advances `now`
    /// past the last one.
    pub fn run_sequentially(
        &mut self,
        now: &mut Micros,
        ids: std::ops::Range<RequestId>,
        end: AttemptEnd,
        latency: Micros,
    ) {
        for id in ids {
            let actions = self.receive(*now, request(id, IDEMPOTENT, Some(1), *now + 2 * SECOND));
            assert_eq!(sends(&actions), [(id, 1)], "request {id} is not sent though nothing is in flight");
            *now += latency;
            self.end_attempt(*now, outcome(id, 0, 1, end, latency));
            *now += MS;
        }
    }

    /// Runs eight requests with fast responses, one after the other.
    pub fn warm_up(&mut self, now: &mut Micros) {
        self.run_sequentially(now, 1..9, AttemptEnd::Ok, 20 * MS);
    }

    /// Length of the controller's `Debug` output, as a measure of the size of its state.
    pub fn state_size(&self) -> usize {
        format!("{:?}", self.controller).len()
    }
}

/// The requests that the actions send, each with its backend.
pub fn sends(actions: &[Action]) -> Vec<(RequestId, u64)> {
    let send = |action: &Action| match action {
        Action::Send { id, backend, .. } => Some((*id, backend.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Number of requests that the actions reject.
pub fn rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}
