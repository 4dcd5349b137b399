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

/// How long ids are remembered after their requests have ended.
const RETENTION: Duration = Duration::from_secs(5);

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
    /// The ids of open and of recent requests.
    known: RefCell<HashSet<u64>>,
    /// The ids of requests that have ended, and when, in that order.
    recent: RefCell<VecDeque<(Instant, u64)>>,
    max_known: usize,
    /// The ids that the other process of an upgrade sees too, where there may be one.
    shared: Option<SharedRequestIds>,
}

impl RequestIds {
    /// No ids, of which at most `max_known` are remembered; `shared` is what another process of this head sees.
    pub fn new(max_known: usize, shared: Option<SharedRequestIds>) -> Rc<RequestIds> {
        Rc::new(RequestIds { known: RefCell::default(), recent: RefCell::default(), max_known, shared })
    }

    /// Registers the id of a request that is open for at most `timeout`.
    ///
    /// # Errors
    /// The id is in use, here or at the other process of an upgrade, or too many are.
    pub fn register(self: &Rc<Self>, id: u64, timeout: Duration) -> Result<RequestIdGuard, RegisterError> {
        self.forget_old();
        let mut known = self.known.borrow_mut();
        if known.contains(&id) {
            return Err(RegisterError::InUse);
        }
        if known.len() >= self.max_known {
            return Err(RegisterError::Full);
        }
        if self.shared.as_ref().is_some_and(|shared| !shared.claim(id, timeout + RETENTION)) {
            return Err(RegisterError::InUse);
        }
        known.insert(id);
        Ok(RequestIdGuard { ids: Rc::clone(self), id })
    }

    fn forget_old(&self) {
        let mut recent = self.recent.borrow_mut();
        while let Some((ended_at, id)) = recent.front().copied() {
            if ended_at.elapsed() <= RETENTION {
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
