//! Guards against duplicate requests: the ids of requests that are open, and of those that were a moment ago.
//!
//! A request whose id comes again is not forwarded: at a backend it would be a second copy of the first one. `shared`
//! does the same between the two processes of an upgrade.

mod shared;

pub use shared::SharedRequestIds;

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long ids are remembered after their requests have ended, at the least.
const RETENTION: Duration = Duration::from_secs(5);
/// Time in which the ids of ended requests are collected, to be forgotten together.
const COLLECTION_TIME: Duration = Duration::from_secs(1);

/// Why an id was not registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RegisterError {
    /// Its request is open, or was a moment ago.
    #[error("the id is in use")]
    InUse,
    /// As many ids are remembered as there is memory for. None is forgotten early: its request might run twice.
    #[error("too many ids are remembered")]
    Full,
}

/// The ids that may not come again.
#[derive(Debug)]
pub struct RequestIds {
    known: RefCell<KnownIds>,
    max_known: usize,
    /// The ids that the other process of an upgrade sees too, where there may be one.
    shared: Option<SharedRequestIds>,
}

/// The ids of open and of recent requests.
#[derive(Debug, Default)]
struct KnownIds {
    open: HashSet<u64>,
    /// The ids of requests that have ended, with when each collection began, in that order.
    ended: VecDeque<(Instant, HashSet<u64>)>,
}

impl KnownIds {
    fn contains(&self, id: u64) -> bool {
        self.open.contains(&id) || self.ended.iter().any(|(_, ids)| ids.contains(&id))
    }

    fn len(&self) -> usize {
        self.open.len() + self.ended.iter().map(|(_, ids)| ids.len()).sum::<usize>()
    }

    /// Records the end of a request.
    fn end(&mut self, id: u64, now: Instant) {
        self.open.remove(&id);
        let is_current = self.ended.back().is_some_and(|(begun_at, _)| now - *begun_at < COLLECTION_TIME);
        if !is_current {
            self.ended.push_back((now, HashSet::new()));
        }
        if let Some((_, ids)) = self.ended.back_mut() {
            ids.insert(id);
        }
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |(begun_at, _): &(Instant, HashSet<u64>)| now - *begun_at > COLLECTION_TIME + RETENTION;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
    }
}

impl RequestIds {
    /// No ids, of which at most `max_known` are remembered; `shared` is what another process of this head sees.
    pub fn new(max_known: usize, shared: Option<SharedRequestIds>) -> Rc<RequestIds> {
        Rc::new(RequestIds { known: RefCell::default(), max_known, shared })
    }

    /// Registers the id of a request that is open for at most `timeout`.
    ///
    /// # Errors
    /// The id is in use, here or at the other process of an upgrade, or too many are.
    pub fn register(self: &Rc<Self>, id: u64, timeout: Duration) -> Result<RequestIdGuard, RegisterError> {
        let mut known = self.known.borrow_mut();
        known.forget_old(Instant::now());
        if known.contains(id) {
            return Err(RegisterError::InUse);
        }
        if known.len() >= self.max_known {
            return Err(RegisterError::Full);
        }
        if self.shared.as_ref().is_some_and(|shared| !shared.claim(id, timeout + RETENTION)) {
            return Err(RegisterError::InUse);
        }
        known.open.insert(id);
        Ok(RequestIdGuard { ids: Rc::clone(self), id })
    }
}

/// An id for as long as its request, or an attempt of it, is open.
#[derive(Debug)]
pub struct RequestIdGuard {
    ids: Rc<RequestIds>,
    id: u64,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.ids.known.borrow_mut().end(self.id, Instant::now());
    }
}
