//! Guards against duplicate requests: the ids of requests that are open, and of those that were a moment ago.
//!
//! A request whose id comes again is not forwarded: at a backend it would be a second copy of the first one.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long ids are remembered after their requests have ended.
const RETENTION: Duration = Duration::from_secs(5);
/// How many ids are remembered after their requests have ended, at the most.
const MAX_RECENT: usize = 16_384;

/// The ids that may not come again.
#[derive(Debug, Default)]
pub struct RequestIds {
    /// The ids of open and of recent requests.
    known: RefCell<HashSet<u64>>,
    /// The ids of requests that have ended, and when, in that order.
    recent: RefCell<VecDeque<(Instant, u64)>>,
}

impl RequestIds {
    /// Registers an id; `None` where its request is open or was a moment ago.
    pub fn register(self: &Rc<Self>, id: u64) -> Option<RequestIdGuard> {
        self.forget_old();
        let is_new = self.known.borrow_mut().insert(id);
        is_new.then(|| RequestIdGuard { ids: Rc::clone(self), id })
    }

    fn forget_old(&self) {
        let mut recent = self.recent.borrow_mut();
        while let Some((ended_at, id)) = recent.front().copied() {
            if recent.len() <= MAX_RECENT && ended_at.elapsed() <= RETENTION {
                return;
            }
            recent.pop_front();
            self.known.borrow_mut().remove(&id);
        }
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
        self.ids.recent.borrow_mut().push_back((Instant::now(), self.id));
    }
}
