//! A simulated discovery server: an endpoint list with versions that reaches each head late, each change by a delay of
//! its own, and watches that break.

use crate::random::{Span, source, time_within};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sedgerun_policy::{BackendId, Endpoint, Micros, Readiness, UpdateScope};
use std::collections::{BTreeMap, VecDeque};

/// How long a call takes there and back, us.
pub const CALL_TIME: Micros = 2_000;
/// How long a call that fails takes, us.
pub const FAILED_CALL_TIME: Micros = 100_000;
/// Purpose of the random source of the server.
const PURPOSE: u64 = 4;

/// An update that is delivered to a head.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The head.
    pub head: usize,
    /// When it reaches the head.
    pub at: Micros,
    /// What it covers.
    pub scope: UpdateScope,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

#[derive(Debug, Default)]
struct HeadView {
    /// The list as it has reached this head.
    delivered: BTreeMap<BackendId, Endpoint>,
    pending: VecDeque<(Micros, Endpoint)>,
    is_watching: bool,
}

/// A discovery server, as its heads see it.
#[derive(Debug)]
pub struct DiscoveryServer {
    views: Vec<HeadView>,
    random: ChaCha8Rng,
    /// The delay of each change, s.
    delay: Span,
    /// What is added to it.
    extra_delay: Micros,
    is_down: bool,
    /// The version: how often the list has changed.
    pub version: u64,
    answers: VecDeque<EndpointUpdate>,
}

impl DiscoveryServer {
    /// A server with a first list that all heads have; `delay` is that of each change, s.
    pub fn new(heads: usize, first: &[Endpoint], delay: Span, seed: u64) -> DiscoveryServer {
        let delivered: BTreeMap<BackendId, Endpoint> =
            first.iter().map(|one| (one.backend, one.clone())).collect();
        let views =
            (0..heads).map(|_| HeadView { delivered: delivered.clone(), ..HeadView::default() }).collect();
        let (random, answers) = (source(seed, PURPOSE), VecDeque::new());
        DiscoveryServer { views, random, delay, extra_delay: 0, is_down: false, version: 1, answers }
    }

    /// An endpoint of the list changes.
    pub fn change(&mut self, now: Micros, endpoint: &Endpoint) {
        self.version += 1;
        for view in &mut self.views {
            let due = now + self.extra_delay + time_within(&mut self.random, self.delay);
            // Changes keep their order.
            let due = view.pending.back().map_or(due, |(last, _)| due.max(*last));
            view.pending.push_back((due, endpoint.clone()));
        }
    }

    /// Changes are delayed by so much more from now on, us.
    pub fn set_extra_delay(&mut self, delay: Micros) {
        self.extra_delay = delay;
    }

    /// It answers nobody, or answers again. Watches break when it goes down.
    pub fn set_down(&mut self, now: Micros, is_down: bool) {
        self.is_down = is_down;
        if is_down {
            for head in 0..self.views.len() {
                if std::mem::take(&mut self.views[head].is_watching) {
                    let at = now + self.random.random_range(0..CALL_TIME);
                    self.queue_answer(EndpointUpdate {
                        head,
                        at,
                        scope: UpdateScope::Failed,
                        endpoints: Vec::new(),
                    });
                }
            }
        }
    }

    /// A head starts: the list as it last reached this head, which may be old.
    pub fn cached_list(&mut self, head: usize) -> Vec<Endpoint> {
        self.views[head].is_watching = false;
        self.answers.retain(|update| update.head != head);
        self.views[head].delivered.values().cloned().collect()
    }

    /// A head requests the complete list, and the changes from then on.
    pub fn watch(&mut self, now: Micros, head: usize) {
        if self.is_down {
            let at = now + FAILED_CALL_TIME;
            return self.queue_answer(EndpointUpdate {
                head,
                at,
                scope: UpdateScope::Failed,
                endpoints: Vec::new(),
            });
        }
        let view = &mut self.views[head];
        view.is_watching = true;
        // The complete list is filled in when it is delivered: a change may come through in between.
        self.queue_answer(EndpointUpdate {
            head,
            at: now + CALL_TIME,
            scope: UpdateScope::Full,
            endpoints: Vec::new(),
        });
    }

    /// A head resumes from a list that it has: it is notified of changes from now on, unless the server is down.
    pub fn resume(&mut self, head: usize) {
        self.views[head].is_watching = !self.is_down;
    }

    /// Whether a head is notified of changes; one whose watch broke requests the complete list.
    pub fn is_watching(&self, head: usize) -> bool {
        self.views[head].is_watching
    }

    fn queue_answer(&mut self, update: EndpointUpdate) {
        let after = self.answers.partition_point(|other| other.at <= update.at);
        self.answers.insert(after, update);
    }

    /// When the next update is delivered.
    pub fn next_delivery(&self) -> Option<Micros> {
        let pending = self.views.iter().filter_map(|view| view.pending.front().map(|(at, _)| *at)).min();
        let answer = self.answers.front().map(|update| update.at);
        pending.into_iter().chain(answer).min()
    }

    /// The updates that are delivered by now, in order.
    pub fn take_due(&mut self, now: Micros) -> Vec<EndpointUpdate> {
        let mut due_updates = Vec::new();
        for (head, view) in self.views.iter_mut().enumerate() {
            while let Some((at, endpoint)) = view.pending.front().cloned().filter(|(at, _)| *at <= now) {
                view.pending.pop_front();
                if endpoint.readiness == Readiness::Removed {
                    view.delivered.remove(&endpoint.backend);
                } else {
                    view.delivered.insert(endpoint.backend, endpoint.clone());
                }
                if view.is_watching {
                    due_updates.push(EndpointUpdate {
                        head,
                        at,
                        scope: UpdateScope::Delta,
                        endpoints: vec![endpoint],
                    });
                }
            }
        }
        let due = self.answers.partition_point(|update| update.at <= now);
        for mut update in self.answers.drain(..due) {
            if update.scope == UpdateScope::Full {
                update.endpoints = self.views[update.head].delivered.values().cloned().collect();
            }
            due_updates.push(update);
        }
        due_updates.sort_by_key(|update| (update.head, update.at));
        due_updates
    }
}
