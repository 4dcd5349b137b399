//! The clients of a test run: each request at its time, whatever became of those before it, over HTTP on cached
//! connections or over 9P.

use super::heads::HeadProcesses;
use super::ninep_client::{ClientAttemptEnd, FileOperation, Session};
use super::ninep_files::{export_of, file_name, parse_file_name};
use super::test_bed::TestBed;
use crate::auditor::{AnswerKind, Ticket};
use crate::drawn_scenario::types::Arrival;
use crate::figures::{RequestRecord, RequestResult};
use crate::http::{HttpConnection, Message};
use crate::random::{source, within};
use crate::scenario::{ClassSpec, RetryPolicy};
use rand_chacha::ChaCha8Rng;
use sedgerun_policy::Micros;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time past a client's deadline until it stops waiting for the answer.
const DEADLINE_ALLOWANCE: Duration = Duration::from_millis(8);
/// Purpose of the random source of the clients.
const PURPOSE: u64 = 6;
/// The body of a write.
const WRITE_BODY: &str = "artwork";

/// What a cached connection leads to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConnectionKey {
    head: usize,
    incarnation: u32,
    /// The export of a 9P session; empty for HTTP.
    export: String,
}

type CachedConnections<T> = RefCell<HashMap<ConnectionKey, Vec<T>>>;

/// All clients of a test run.
pub struct Clients {
    test_bed: Rc<TestBed>,
    heads: Rc<HeadProcesses>,
    http: CachedConnections<HttpConnection>,
    ninep: CachedConnections<Session>,
    random: RefCell<ChaCha8Rng>,
}

impl Clients {
    /// Clients that have not begun.
    pub fn new(test_bed: Rc<TestBed>, heads: Rc<HeadProcesses>) -> Rc<Clients> {
        let random = RefCell::new(source(test_bed.seed, PURPOSE));
        let (http, ninep) = Default::default();
        Rc::new(Clients { test_bed, heads, http, ninep, random })
    }

    /// Sends all requests at their times; returns when the last one is sent.
    pub async fn play(self: Rc<Self>) {
        let test_bed = Rc::clone(&self.test_bed);
        for (i, arrival) in test_bed.drawn.arrivals.iter().enumerate() {
            test_bed.sleep_until(arrival.at).await;
            tokio::task::spawn_local(Rc::clone(&self).request(i as u32));
        }
    }

    fn class_of(&self, arrival: &Arrival) -> &ClassSpec {
        &self.test_bed.scenario.classes[usize::from(arrival.class)]
    }

    /// One request with its retry.
    async fn request(self: Rc<Self>, index: u32) {
        let test_bed = &self.test_bed;
        let arrival = &test_bed.drawn.arrivals[index as usize];
        let class = &test_bed.drawn.settings.classes[usize::from(arrival.class)];
        let deadline = arrival.at + class.timeout;
        let mut is_retry = false;
        let (result, latency) = loop {
            let end = self.attempt(index, arrival, deadline).await;
            let latency = test_bed.now().saturating_sub(arrival.at);
            let is_past_objective = end.result == RequestResult::InTime && latency > class.latency_objective;
            let result = if is_past_objective { RequestResult::PastObjective } else { end.result };
            let wait = self.retry_wait(end.retry_after);
            let wait = wait.filter(|_| !is_retry && self.may_retry(arrival, result));
            match wait.filter(|wait| test_bed.now() + wait + class.latency_objective / 4 < deadline) {
                Some(wait) => {
                    is_retry = true;
                    test_bed.figures.borrow_mut().retries += 1;
                    tokio::time::sleep(Duration::from_micros(wait)).await;
                }
                None => break (result, latency),
            }
        };
        self.record(arrival, result, latency);
    }

    fn may_retry(&self, arrival: &Arrival, result: RequestResult) -> bool {
        match result {
            RequestResult::InTime | RequestResult::PastObjective | RequestResult::NoAnswer => false,
            RequestResult::Rejected => true,
            RequestResult::Failed | RequestResult::Lost => self.class_of(arrival).is_idempotent,
        }
    }

    /// How long a client waits before a retry, us; none where it does not retry.
    fn retry_wait(&self, retry_after: Micros) -> Option<Micros> {
        let clients = &self.test_bed.scenario.clients;
        match clients.retry {
            RetryPolicy::None => None,
            RetryPolicy::AtOnce => Some(0),
            RetryPolicy::Wait => {
                let own = within(&mut *self.random.borrow_mut(), clients.retry_ms) * 1e3;
                Some((own as Micros).max(retry_after))
            }
        }
    }

    /// Counts a request at its end.
    fn record(&self, arrival: &Arrival, result: RequestResult, latency: Micros) {
        let test_bed = &self.test_bed;
        let plan = test_bed.drawn.volumes[arrival.volume as usize].plan;
        let (at, class, units) = (arrival.at, usize::from(arrival.class), arrival.units);
        let record = RequestRecord { at, class, plan, units, result, latency };
        test_bed.figures.borrow_mut().count_request(&test_bed.scenario, &record);
        if let Some(shard) = test_bed.shard_of(arrival.placement) {
            let in_time = result == RequestResult::InTime;
            let mut auditor = test_bed.auditor.borrow_mut();
            auditor.count_usage(at, arrival.volume, shard, f64::from(units), in_time);
        }
    }

    /// One attempt; its end is noted with the auditor.
    async fn attempt(&self, index: u32, arrival: &Arrival, deadline: Micros) -> ClientAttemptEnd {
        let test_bed = &self.test_bed;
        let ticket = test_bed.new_ticket(index);
        let head = usize::from(arrival.head);
        let incarnation = self.heads.addresses(head).incarnation;
        let sent = async {
            if test_bed.drawn.volumes[arrival.volume as usize].speaks_ninep {
                self.over_ninep(ticket, arrival).await
            } else {
                self.over_http(ticket, arrival, deadline).await
            }
        };
        let is_idempotent = self.class_of(arrival).is_idempotent;
        test_bed.auditor.borrow_mut().request_accepted(ticket, head, deadline, is_idempotent);
        let end = tokio::time::timeout_at(test_bed.instant(deadline) + DEADLINE_ALLOWANCE, sent).await;
        let mut auditor = test_bed.auditor.borrow_mut();
        match end {
            Ok(Ok(end)) => {
                let answer = end.served.map_or(AnswerKind::NotServed, AnswerKind::Served);
                auditor.answered(test_bed.now(), ticket, answer);
                end
            }
            Ok(Err(error)) => {
                // A head that was killed, or is not there yet, owes no answer: it has not accepted the request.
                let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
                let is_other = self.heads.addresses(head).incarnation != incarnation;
                if is_refused || is_other || incarnation.is_multiple_of(2) {
                    auditor.excuse(ticket);
                }
                ClientAttemptEnd::not_served(RequestResult::Lost)
            }
            Err(_) => ClientAttemptEnd::not_served(RequestResult::NoAnswer),
        }
    }

    async fn over_http(
        &self,
        ticket: Ticket,
        arrival: &Arrival,
        deadline: Micros,
    ) -> io::Result<ClientAttemptEnd> {
        let head = usize::from(arrival.head);
        let addresses = self.heads.addresses(head);
        let key = ConnectionKey { head, incarnation: addresses.incarnation, export: String::new() };
        let mut cached = self.http.borrow_mut().get_mut(&key).and_then(Vec::pop);
        loop {
            let is_reused = cached.is_some();
            let mut connection = match cached.take() {
                Some(connection) => connection,
                None => HttpConnection::new(TcpStream::connect(addresses.http).await?),
            };
            let request = self.http_request(ticket, arrival, deadline);
            let answer = match connection.write(request.as_bytes()).await {
                Ok(()) => connection.read(true).await,
                Err(error) => Err(error),
            };
            let answer = match answer {
                Ok(Some(answer)) => answer,
                // A head may close a connection between requests; a request that crosses that is sent once more.
                Ok(None) | Err(_) if is_reused => continue,
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(error) => return Err(error),
            };
            let closes = answer.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if !closes {
                self.http.borrow_mut().entry(key).or_default().push(connection);
            }
            return Ok(http_attempt_end(&answer));
        }
    }

    /// A request in HTTP, with what is left of its time now.
    fn http_request(&self, ticket: Ticket, arrival: &Arrival, deadline: Micros) -> String {
        let test_bed = &self.test_bed;
        let class = self.class_of(arrival);
        let volume = &test_bed.drawn.volumes[arrival.volume as usize];
        let shard = test_bed.shard_of(arrival.placement).map_or("-1".to_owned(), |shard| shard.to_string());
        let (method, length, body) = if class.is_idempotent {
            ("GET", String::new(), "")
        } else {
            ("PUT", format!("Content-Length: {}\r\n", WRITE_BODY.len()), WRITE_BODY)
        };
        let remaining_ms = deadline.saturating_sub(test_bed.now()) / 1000;
        format!(
            "{method} /{}/a HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\nX-Qos-Policy: {}\r\n\
             X-Chunk: {:016x}\r\nRequest-Timeout-Ms: {remaining_ms}\r\n\
             X-Placement: volume={:016x},units={},shard={shard},hosts={}\r\n{length}\r\n{body}",
            class.name,
            file_name(ticket),
            test_bed.scenario.plans[volume.plan].name,
            arrival.key,
            volume.id,
            arrival.units,
            volume.heads.len(),
        )
    }

    async fn over_ninep(&self, ticket: Ticket, arrival: &Arrival) -> io::Result<ClientAttemptEnd> {
        let head = usize::from(arrival.head);
        let addresses = self.heads.addresses(head);
        let volume = &self.test_bed.drawn.volumes[arrival.volume as usize];
        let export = export_of(arrival, volume);
        let key = ConnectionKey { head, incarnation: addresses.incarnation, export: export.clone() };
        let cached = self.ninep.borrow_mut().get_mut(&key).and_then(Vec::pop);
        let mut session = match cached {
            Some(session) => session,
            None => match Session::begin(addresses.ninep, &export).await? {
                Ok(session) => session,
                Err(retry_after) => return Ok(ClientAttemptEnd::rejected(retry_after)),
            },
        };
        let end = session.run(ticket, self.file_operation(arrival)).await?;
        self.ninep.borrow_mut().entry(key).or_default().push(session);
        Ok(end)
    }

    /// What an arrival does to its file; the last class is that of large files.
    fn file_operation(&self, arrival: &Arrival) -> FileOperation {
        let is_large = usize::from(arrival.class) + 1 == self.test_bed.scenario.classes.len();
        match (self.class_of(arrival).is_idempotent, is_large) {
            (true, true) => FileOperation::ReadLarge,
            (true, false) => FileOperation::Read(arrival.units),
            (false, true) => FileOperation::WriteLarge,
            (false, false) => FileOperation::Write(arrival.units),
        }
    }
}

fn http_attempt_end(answer: &Message) -> ClientAttemptEnd {
    match answer.status {
        200 => {
            let answered = std::str::from_utf8(&answer.body).ok().and_then(parse_file_name);
            ClientAttemptEnd::served(answered.unwrap_or(Ticket::MAX))
        }
        429 | 503 => {
            let wait_s = answer.header("Retry-After").and_then(|wait| wait.parse::<f64>().ok());
            ClientAttemptEnd::rejected((wait_s.unwrap_or(0.0) * 1e6) as Micros)
        }
        _ => ClientAttemptEnd::not_served(RequestResult::Failed),
    }
}
