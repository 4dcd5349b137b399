//! The watch on discovery's endpoint list: one poll after the other, for as long as the program runs. Where lists are
//! polled from a service, the controller says when to poll again, within the time in which a change counts as
//! delivered; where they are pushed, an agent on this machine is polled all the time.
//!
//! [`list`] reads what comes; `client` makes the polls, `timing` and `backoff` pace them, `failure` says how one
//! fails, and `delivery` hands the list to the dispatch. This module owns the generation of the list in force.

mod backoff;
mod client;
mod delivery;
mod failure;
pub mod lenient;
pub mod list;
mod timing;

use self::backoff::{FailureHistory, MIN_AGENT_POLL_INTERVAL, MIN_POLL_INTERVAL};
use self::client::{Poll, PollClient};
use self::delivery::ListDelivery;
use self::failure::PollFailure;
use self::list::{EndpointList, SizeUnit, TooLarge, read_list};
use self::timing::{ListSource, PollTiming};
use crate::config::Config;
use crate::dispatch_service::DispatchService;
use sedgerun_policy::UpdateScope;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Watches discovery for one program.
pub struct Discovery {
    dispatch: Rc<DispatchService>,
    config: Rc<Config>,
    client: PollClient,
    timing: PollTiming,
    failures: FailureHistory,
    delivery: ListDelivery,
    /// The version of the list in force; without one, the next poll requests the full list.
    generation: Option<u64>,
}

/// When the next poll is made behind a failed one.
struct NextPoll {
    /// The longest time until then.
    within: Duration,
    /// Whether it is made before, when the controller requests it.
    on_request: bool,
}

impl Discovery {
    /// A watch that delivers lists to this dispatch.
    pub fn new(dispatch: Rc<DispatchService>, config: Rc<Config>) -> Discovery {
        Discovery {
            client: PollClient::new(config.discovery, &dispatch, config.resource_limits.list.bytes),
            timing: PollTiming::new(&config.settings, config.seed),
            failures: FailureHistory::default(),
            delivery: ListDelivery::new(Rc::clone(&dispatch), &config),
            generation: None,
            dispatch,
            config,
        }
    }

    /// Loads the list that the program was started with: JSON in discovery's form.
    pub fn load_cached(&mut self, cached: Option<Box<RawValue>>) {
        match cached.map(|list| self.read(list.get().as_bytes())) {
            Some(Ok(list)) => return self.deliver(UpdateScope::Cached, list),
            Some(Err(failure)) => tracing::warn!("known: {failure}"),
            None => {}
        }
        self.delivery.deliver_operator_backends();
    }

    /// Polls for as long as the program runs: a service when the controller requests it, until a poll fails; an
    /// agent always; and at once at a new address, of which `address` tells.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        if self.timing.source() == ListSource::Service {
            self.dispatch.watch_requested().await;
        }
        loop {
            let (poll, started) = (self.next_poll(), Instant::now());
            let result = tokio::select! {
                biased;
                // The poll that waits is dropped: what the old discovery would say is of no use.
                Ok(()) = address.changed() => {
                    self.switch_to(*address.borrow_and_update());
                    continue;
                }
                result = self.client.poll(poll) => result,
            };
            match result.and_then(|text| self.read(&text)) {
                Ok(list) => self.on_list(list, poll, started).await,
                Err(failure) => {
                    let next = self.on_failure(&failure, started);
                    tokio::select! {
                        () = tokio::time::sleep(next.within) => {}
                        () = self.dispatch.watch_requested(), if next.on_request => {}
                        Ok(()) = address.changed() => self.switch_to(*address.borrow_and_update()),
                    }
                }
            }
        }
    }

    fn next_poll(&mut self) -> Poll {
        let wait = self.timing.wait(self.generation);
        Poll { since: self.generation, wait, timeout: self.timing.timeout(wait) }
    }

    /// Switches to another discovery: its generations are its own, so that the full list is requested. The old list
    /// stays in force until that one is there. Connections to the old address close.
    fn switch_to(&mut self, address: SocketAddr) {
        self.client = PollClient::new(address, &self.dispatch, self.config.resource_limits.list.bytes);
        self.generation = None;
        self.failures.on_switch();
    }

    /// A poll that started then brought a list.
    async fn on_list(&mut self, list: EndpointList, poll: Poll, started: Instant) {
        self.failures.on_list(list.entries.len());
        let is_newer = poll.since != Some(list.generation);
        let scope = if list.is_full { UpdateScope::Full } else { UpdateScope::Delta };
        self.deliver(scope, list);
        let is_agent = self.timing.source() == ListSource::Agent;
        if is_agent && !is_newer && started.elapsed() < MIN_AGENT_POLL_INTERVAL {
            tokio::time::sleep(MIN_AGENT_POLL_INTERVAL).await;
        } else if let Some(pause) = MIN_POLL_INTERVAL.checked_sub(started.elapsed()) {
            tokio::time::sleep(pause).await;
        }
    }

    /// A poll that started then failed. A service may be polled earlier than that at the controller's request, except
    /// where this head backs off from lists that are too large.
    fn on_failure(&mut self, failure: &PollFailure, started: Instant) -> NextPoll {
        self.failures.on_failure(failure, self.timing.source());
        // Guards against requesting the same unusable changes for ever.
        if failure.is_unusable_list() {
            self.generation = None;
        }
        let within = self.interval_after(failure, started);
        if self.failures.is_oversized_backoff(failure) {
            let within = self.failures.oversized_interval(within, &mut self.timing);
            return NextPoll { within, on_request: false };
        }
        NextPoll { within, on_request: self.timing.source() == ListSource::Service }
    }

    /// The longest time to the poll behind a failed one that started then, where that follows from this poll alone.
    fn interval_after(&mut self, failure: &PollFailure, started: Instant) -> Duration {
        if self.failures.is_switching() {
            return backoff::switch_interval(started);
        }
        if self.timing.source() == ListSource::Agent {
            return backoff::agent_interval(started);
        }
        self.dispatch.discard_watch_request();
        self.dispatch.update_endpoints(UpdateScope::Failed, Vec::new());
        backoff::service_interval(failure, started, &mut self.timing)
    }

    /// Reads a list that this head can hold, be it full or changes to the one in force.
    fn read(&self, text: &[u8]) -> Result<EndpointList, PollFailure> {
        let bounds = self.config.resource_limits.list;
        let list = read_list(text, &self.config.zones, bounds)?;
        let size = self.delivery.size_after(&list);
        if size > bounds.entries {
            let too_large = TooLarge { size: size as u64, limit: bounds.entries, unit: SizeUnit::Entries };
            return Err(PollFailure::TooLarge(too_large));
        }
        Ok(list)
    }

    /// Puts a list, or changes of it, in force.
    fn deliver(&mut self, scope: UpdateScope, list: EndpointList) {
        let has_shrunk = self.delivery.deliver(scope, list.entries);
        // Guards against a list that lost most entries by mistake: it is obeyed, and the full list requested once
        // more, at once.
        self.generation = (!has_shrunk).then_some(list.generation);
    }
}
