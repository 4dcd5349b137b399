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
/// A response over so many bytes is timed by its first byte.
pub const LARGE_BYTES: usize = 64 * 1024;
/// A response must have begun so long before the end of its client's wait to be passed on.
const BEGIN_SLACK: Duration = Duration::from_millis(200);
/// What a backend has given is not held back for longer.
const HOLD_BACK: Duration = Duration::from_secs(2);

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
    /// What a backend gave of the response, in the last attempt in which a sound one began.
    given: Option<Given>,
    /// What the client got.
    got: Option<Got>,
}

/// A response that a backend begins to give.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    pub bytes: usize,
    /// Its head tells its length.
    pub has_length: bool,
}

impl Response {
    /// Whether it may be complete after its client's wait, if it has begun before.
    pub fn is_timed_by_first_byte(self) -> bool {
        self.bytes > LARGE_BYTES || !self.has_length
    }
}

/// What a backend has given of a response.
#[derive(Clone, Copy, Debug)]
struct Given {
    response: Response,
    began_at: Instant,
    last_byte_at: Instant,
    bytes: usize,
    is_whole: bool,
    /// It found its connection closed before its last byte.
    is_cut: bool,
}

/// What a client has got.
#[derive(Clone, Copy, Debug)]
pub struct Got {
    /// The status is 200.
    pub is_served: bool,
    /// The body came to its end.
    pub is_whole: bool,
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
    /// The client read with pauses.
    pub reads_slowly: bool,
}

/// The record of one run.
#[derive(Default)]
pub struct Record {
    requests: Mutex<HashMap<String, Request>>,
    violations: Mutex<Vec<String>>,
    counts: Mutex<HashMap<&'static str, u64>>,
    /// When processes were killed.
    kills: Mutex<Vec<Instant>>,
}

impl Record {
    /// A client is about to send a request.
    pub fn sending(&self, id: &str, timeout: Duration, may_repeat: bool) {
        let request = Request {
            sent_at: Instant::now(),
            timeout,
            may_repeat,
            left_at: None,
            runs: 0,
            given: None,
            got: None,
        };
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

    /// A backend begins to write a sound response.
    pub fn gives(&self, id: &str, response: Response) {
        let now = Instant::now();
        self.change(id, |request| {
            let (began_at, last_byte_at) = (now, now);
            request.given =
                Some(Given { response, began_at, last_byte_at, bytes: 0, is_whole: false, is_cut: false });
        });
    }

    /// A backend has written so many bytes of its body.
    pub fn gave(&self, id: &str, bytes: usize) {
        self.change_given(id, |given| {
            given.bytes += bytes;
            given.last_byte_at = Instant::now();
        });
    }

    /// A backend has written its response to the last byte.
    pub fn gave_all(&self, id: &str) {
        self.change_given(id, |given| given.is_whole = true);
    }

    /// A backend found its connection closed within its response.
    pub fn found_closed(&self, id: &str) {
        self.change_given(id, |given| given.is_cut = true);
    }

    /// What became of a request so far, with its times.
    pub fn times(&self, id: &str) -> String {
        let requests = self.requests.lock().expect("a record");
        requests.get(id).map(Request::times).unwrap_or_default()
    }

    /// Whether a backend gave the response without a length, and was not done before the client's wait was over. Such a
    /// response begins in time, as nobody but its backend knows that it is small.
    pub fn outlasts_wait_without_length(&self, id: &str) -> bool {
        let requests = self.requests.lock().expect("a record");
        let Some(request) = requests.get(id) else { return false };
        request.given.is_some_and(|given| {
            let outlasts =
                !given.is_whole || given.last_byte_at + BEGIN_SLACK > request.sent_at + request.timeout;
            !given.response.has_length && outlasts
        })
    }

    /// A client has got an answer.
    pub fn got(&self, id: &str, got: Got) {
        self.change(id, |request| request.got = Some(got));
    }

    /// A process is killed.
    pub fn killed(&self) {
        self.kills.lock().expect("a record").push(Instant::now());
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.lock().expect("a record").get_mut(id) {
            change(request);
        }
    }

    fn change_given(&self, id: &str, change: impl FnOnce(&mut Given)) {
        self.change(id, |request| {
            if let Some(given) = &mut request.given {
                change(given);
            }
        });
    }

    /// Compares what backends gave with what their clients got, at the end of a run.
    pub fn compare(&self) {
        let requests = self.requests.lock().expect("a record");
        let kills = self.kills.lock().expect("a record");
        let faults = requests.iter().filter_map(|(id, request)| {
            let fault = request.transfer_fault(&kills)?;
            Some(format!("{id}: {fault}: {}", request.times()))
        });
        self.violations.lock().expect("a record").extend(faults);
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

impl Request {
    /// What is wrong with the transfer of a sound response; `None` for one that is sound, or that is nobody's fault
    /// but the client's or the signal's.
    fn transfer_fault(&self, kills: &[Instant]) -> Option<&'static str> {
        let (given, got) = (self.given?, self.got?);
        let was_killed = kills.iter().any(|at| *at > self.sent_at && *at < got.last_byte_at + HOLD_BACK);
        if self.left_at.is_some() || was_killed {
            return None;
        }
        let began_in_time = given.began_at + BEGIN_SLACK < self.sent_at + self.timeout;
        let answered_before = given.began_at + SCHEDULING_SLACK > got.last_byte_at;
        let is_owed = given.response.is_timed_by_first_byte() && began_in_time && !answered_before;
        if is_owed && !got.is_served {
            return Some("refused while its response was coming");
        }
        if got.is_served && !got.is_whole {
            return Some("a sound response was cut");
        }
        if is_owed && given.is_cut {
            return Some("a backend was cut off");
        }
        if !got.reads_slowly && got.is_whole && got.is_served {
            let is_late = got.last_byte_at > given.last_byte_at + HOLD_BACK;
            return is_late.then_some("the rest of a response was held back");
        }
        None
    }

    fn times(&self) -> String {
        let since = |at: Instant| at.saturating_duration_since(self.sent_at).as_millis();
        let given = self.given.map(|given| {
            let Given { response, bytes, is_whole, is_cut, .. } = given;
            let (first, last) = (since(given.began_at), since(given.last_byte_at));
            format!(
                "{response:?} given from {first} to {last} ms, {bytes} bytes, whole {is_whole}, cut {is_cut}"
            )
        });
        let got = self.got.map(|got| {
            let (first, last) = (since(got.first_byte_at), since(got.last_byte_at));
            format!("got from {first} to {last} ms, served {}, whole {}", got.is_served, got.is_whole)
        });
        let (given, got) = (given.unwrap_or_default(), got.unwrap_or_default());
        format!("wait {} ms, {} runs; {given}; {got}", self.timeout.as_millis(), self.runs)
    }
}
