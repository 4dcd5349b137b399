//! What became of each request, as its client and the backends saw it, and what of that breaks a rule.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// An attempt that begins later than this after its client has left is a lost request.
const LEAVE_SLACK: Duration = Duration::from_millis(100);
/// A backend may be told so much more than its client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Time for the test's own threads on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(60);

/// What is known of one request.
#[derive(Clone, Debug)]
struct Request {
    /// When its client had written its last byte.
    sent_at: Instant,
    timeout: Duration,
    may_repeat: bool,
    /// When its client closed the connection without an answer.
    left_at: Option<Instant>,
    /// How often it was received whole by backends.
    runs: u32,
}

/// The record of one run.
#[derive(Default)]
pub struct Record {
    requests: Mutex<HashMap<String, Request>>,
    violations: Mutex<Vec<String>>,
    counts: Mutex<HashMap<&'static str, u64>>,
}

impl Record {
    /// A client is about to send a request.
    pub fn sending(&self, id: &str, timeout: Duration, may_repeat: bool) {
        let request = Request { sent_at: Instant::now(), timeout, may_repeat, left_at: None, runs: 0 };
        self.requests.lock().expect("a record").insert(id.to_owned(), request);
    }

    /// A client has closed its connection.
    pub fn left(&self, id: &str) {
        if let Some(request) = self.requests.lock().expect("a record").get_mut(id) {
            request.left_at = Some(Instant::now());
        }
    }

    /// A backend has received a request whole; its first byte came at `begun_at`.
    pub fn ran(&self, id: &str, begun_at: Instant, told: Duration) {
        let mut requests = self.requests.lock().expect("a record");
        let Some(request) = requests.get_mut(id) else { return };
        request.runs += 1;
        let (runs, request) = (request.runs, request.clone());
        drop(requests);
        if runs > 1 && !request.may_repeat {
            self.violation(format!("{id} ran {runs} times"));
        }
        let late = request.left_at.map(|left_at| begun_at.saturating_duration_since(left_at));
        if late.is_some_and(|late| late > LEAVE_SLACK + SCHEDULING_SLACK) {
            self.violation(format!("{id}: an attempt began {late:?} after its client had left"));
        }
        let left = (request.sent_at + request.timeout).saturating_duration_since(begun_at);
        if told > left + DEADLINE_SLACK + SCHEDULING_SLACK {
            self.violation(format!("{id}: the backend was told {told:?}, and {left:?} were left"));
        }
    }

    /// Something that breaks a rule.
    pub fn violation(&self, what: String) {
        self.violations.lock().expect("a record").push(what);
    }

    /// Counts something that happened.
    pub fn count(&self, what: &'static str) {
        *self.counts.lock().expect("a record").entry(what).or_default() += 1;
    }

    /// How often something happened.
    pub fn counted(&self, what: &'static str) -> u64 {
        self.counts.lock().expect("a record").get(what).copied().unwrap_or(0)
    }

    /// The counts and the violations.
    pub fn summary(&self) -> (Vec<(&'static str, u64)>, Vec<String>) {
        let counts = self.counts.lock().expect("a record");
        let mut counts: Vec<_> = counts.iter().map(|(name, count)| (*name, *count)).collect();
        counts.sort_unstable();
        (counts, self.violations.lock().expect("a record").clone())
    }
}
