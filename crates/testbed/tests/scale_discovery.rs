//! The stand-in for discovery: thousands of watches with changes, a bounded history, outages and its end.

use sedgerun_testbed::scale::discovery::catalog::{Catalog, Document, Instance, Lifecycle};
use sedgerun_testbed::scale::discovery::{DiscoveryError, DiscoveryProcess, MOST_BACKENDS, Reply, Report};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for whatever is waited for.
const WITHIN: Duration = Duration::from_secs(30);
const WATCHES: usize = 1000;
const BACKENDS: usize = 100;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_sedgerun-testbed"))
}

fn start() -> DiscoveryProcess {
    DiscoveryProcess::start(program()).expect("a discovery process")
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// A client that keeps one connection, and counts the bytes that go over it.
struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
    bytes_in: u64,
    bytes_out: u64,
}

impl Caller {
    async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Caller { stream, received: Vec::new(), bytes_in: 0, bytes_out: 0 }
    }

    async fn send(&mut self, query: &str) {
        let request = format!("GET /v1/servers{query} HTTP/1.1\r\nHost: d\r\n\r\n");
        self.stream.write_all(request.as_bytes()).await.expect("a call is written");
        self.bytes_out += request.len() as u64;
    }

    /// The status and the body of the next answer.
    async fn receive(&mut self) -> (u16, Vec<u8>) {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 16];
            let mut answer = httparse::Response::new(&mut headers);
            if let Ok(httparse::Status::Complete(head)) = answer.parse(&self.received) {
                let status = answer.code.expect("a status");
                let length = answer.headers.iter().find(|header| header.name == "Content-Length");
                let length = std::str::from_utf8(length.expect("a length").value).expect("text");
                let end = head + length.parse::<usize>().expect("a number");
                if self.received.len() >= end {
                    let rest = self.received.split_off(end);
                    let body = std::mem::replace(&mut self.received, rest).split_off(head);
                    return (status, body);
                }
            }
            let read = self.stream.read_buf(&mut self.received).await.expect("an answer");
            assert!(read > 0, "it broke off");
            self.bytes_in += read as u64;
        }
    }

    async fn document(&mut self) -> Document {
        let (status, body) = tokio::time::timeout(WITHIN, self.receive()).await.expect("an answer in time");
        assert_eq!(status, 200);
        serde_json::from_slice(&body).expect("a list")
    }

    async fn call(&mut self, query: &str) -> Document {
        self.send(query).await;
        self.document().await
    }
}

/// Waits until the figures are as wanted.
async fn report_when(
    discovery: &mut DiscoveryProcess,
    what: &str,
    wanted: impl Fn(&Report) -> bool,
) -> Report {
    let begun = Instant::now();
    loop {
        let report = discovery.report(true).expect("a report");
        if wanted(&report) {
            return report;
        }
        assert!(
            begun.elapsed() < WITHIN,
            "not in time: {what}: {:?} {:?}",
            report.total,
            report.open_watches
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_thousand_watches_at_once_each_get_the_change_once() {
    runtime().block_on(async {
        let mut discovery = start();
        let generation = discovery.set_backends(BACKENDS).expect("a list");
        let mut callers = Vec::new();
        for _ in 0..WATCHES {
            let mut caller = Caller::connect(discovery.address()).await;
            let list = caller.call("").await;
            assert_eq!((list.generation, list.reset, list.instances.len()), (generation, true, BACKENDS));
            caller.send(&format!("?since={generation}&timeout_ms=60000")).await;
            callers.push(caller);
        }
        report_when(&mut discovery, "all watch", |report| report.open_watches == WATCHES as u64).await;
        assert_eq!(discovery.set_backends(BACKENDS + 1).expect("a longer list"), generation + 1);
        for caller in &mut callers {
            let change = caller.document().await;
            assert_eq!((change.generation, change.reset), (generation + 1, false));
            let [added] = &change.instances[..] else { panic!("one change: {change:?}") };
            assert_eq!((added.cell, added.lifecycle), (BACKENDS as u32, Lifecycle::Ready));
        }
        let all = 2 * WATCHES as u64;
        let report =
            report_when(&mut discovery, "all answered", |report| report.total.messages_sent == all).await;
        assert_eq!((report.calls, report.total.messages_received, report.open_watches), (all, all, 0));
        assert_eq!((report.whole_lists, report.peers.len()), (WATCHES as u64, WATCHES));
        for caller in &callers {
            let local = caller.stream.local_addr().expect("an address");
            let peer = report.peers.iter().find(|peer| peer.peer == local).expect("its figures");
            let traffic = peer.traffic;
            assert_eq!((traffic.bytes_received, traffic.bytes_sent), (caller.bytes_out, caller.bytes_in));
            assert_eq!((traffic.messages_received, traffic.messages_sent), (2, 2));
        }
        let sent: u64 = callers.iter().map(|caller| caller.bytes_out).sum();
        let received: u64 = callers.iter().map(|caller| caller.bytes_in).sum();
        assert_eq!((report.total.bytes_received, report.total.bytes_sent), (sent, received));
        // Figures of connections that have closed still count.
        drop(callers);
        let closed = report_when(&mut discovery, "all closed", |report| report.open_connections == 0).await;
        assert_eq!((closed.total, closed.peers.len()), (report.total, WATCHES));
        discovery.end().expect("it ends");
    });
}

#[test]
fn a_generation_that_is_too_old_or_unknown_gets_the_whole_list_at_once() {
    runtime().block_on(async {
        let mut discovery = start();
        let generation = discovery.set_backends(BACKENDS).expect("a list");
        let mut caller = Caller::connect(discovery.address()).await;
        for since in [0, generation + 100] {
            let list = caller.call(&format!("?since={since}&timeout_ms=60000")).await;
            assert_eq!((list.generation, list.reset, list.instances.len()), (generation, true, BACKENDS));
        }
        let changes = caller.call("?since=1&timeout_ms=60000").await;
        assert_eq!(
            (changes.generation, changes.reset, changes.instances.len()),
            (generation, false, BACKENDS)
        );
    });
}

#[test]
fn a_watch_without_news_ends_with_no_changes_and_the_connection_serves_on() {
    runtime().block_on(async {
        let mut discovery = start();
        let generation = discovery.set_backends(1).expect("a list");
        let mut caller = Caller::connect(discovery.address()).await;
        for _ in 0..3 {
            let begun = Instant::now();
            let empty = caller.call(&format!("?since={generation}&timeout_ms=50")).await;
            assert_eq!((empty.generation, empty.reset, empty.instances.len()), (generation, false, 0));
            assert!(begun.elapsed() >= Duration::from_millis(50), "{:?}", begun.elapsed());
        }
    });
}

#[test]
fn watches_fail_while_it_is_down_and_go_on_behind_it() {
    runtime().block_on(async {
        let mut discovery = start();
        let generation = discovery.set_backends(3).expect("a list");
        let mut caller = Caller::connect(discovery.address()).await;
        caller.send(&format!("?since={generation}&timeout_ms=60000")).await;
        report_when(&mut discovery, "it watches", |report| report.open_watches == 1).await;
        discovery.down(Duration::from_millis(500)).expect("it goes down");
        let (status, _) = tokio::time::timeout(WITHIN, caller.receive()).await.expect("an answer in time");
        assert_eq!(status, 503);
        discovery.set_backends(4).expect("a change that nobody hears");
        let begun = Instant::now();
        let change = loop {
            caller.send(&format!("?since={generation}&timeout_ms=60000")).await;
            let (status, body) = tokio::time::timeout(WITHIN, caller.receive()).await.expect("an answer");
            if status == 200 {
                break serde_json::from_slice::<Document>(&body).expect("a list");
            }
            assert_eq!(status, 503);
            assert!(begun.elapsed() < WITHIN, "it stays down");
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!((change.generation, change.reset, change.instances.len()), (generation + 1, false, 1));
    });
}

#[test]
fn replaced_backends_come_to_every_watch_as_they_are() {
    runtime().block_on(async {
        let mut discovery = start();
        discovery.set_backends(20).expect("a list");
        let mut caller = Caller::connect(discovery.address()).await;
        let first = caller.call("").await;
        let mut held: BTreeMap<String, Instance> = BTreeMap::new();
        let mut generation = take(&mut held, &first);
        discovery.replace(20.0).expect("replacements begin");
        let mut seen = [0, 0, 0];
        let begun = Instant::now();
        while seen.iter().any(|count| *count < 20) {
            let change = caller.call(&format!("?since={generation}&timeout_ms=5000")).await;
            assert!(!change.reset && change.generation > generation, "{change:?}");
            generation = take(&mut held, &change);
            for instance in &change.instances {
                seen[instance.lifecycle as usize] += 1;
            }
            assert!(begun.elapsed() < WITHIN, "{seen:?}");
        }
        discovery.replace(0.0).expect("replacements end");
        let whole = loop {
            let whole = caller.call("").await;
            if whole.instances.len() == 20
                && whole.instances.iter().all(|instance| instance.lifecycle == Lifecycle::Ready)
            {
                break whole;
            }
            assert!(begun.elapsed() < WITHIN, "replacements do not end");
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        take(&mut held, &caller.call(&format!("?since={generation}&timeout_ms=0")).await);
        let listed: Vec<&Instance> = whole.instances.iter().collect();
        assert_eq!(by_cell(held.values().collect()), by_cell(listed));
        let replaced = whole.instances.iter().filter(|now| {
            first
                .instances
                .iter()
                .all(|then| then.instance_id != now.instance_id && then.host_port != now.host_port)
        });
        assert!(replaced.clone().count() == 20 && replaced.clone().all(|one| one.started_at_ms > 0));
    });
}

fn by_cell(mut instances: Vec<&Instance>) -> Vec<&Instance> {
    instances.sort_by_key(|instance| instance.cell);
    instances
}

/// Brings a held list up to an answer; gives its generation.
fn take(held: &mut BTreeMap<String, Instance>, answer: &Document) -> u64 {
    if answer.reset {
        held.clear();
    }
    for instance in &answer.instances {
        match instance.lifecycle {
            Lifecycle::Gone => held.remove(&instance.instance_id),
            _ => held.insert(instance.instance_id.clone(), instance.clone()),
        };
    }
    answer.generation
}

#[test]
fn the_history_is_bounded_and_no_follower_misses_a_change() {
    const HISTORY: usize = 64;
    let mut catalog = Catalog::new(HISTORY);
    catalog.set_count(30);
    let mut now = Instant::now();
    let parse = |body: &[u8]| serde_json::from_slice::<Document>(body).expect("a list");
    // Followers that ask each generation, each tenth and each hundredth.
    let mut followers: Vec<(u64, u64, BTreeMap<String, Instance>)> =
        [1, 10, 100].map(|every| (every, 0, BTreeMap::new())).into();
    let mut whole_lists = [0; 3];
    for step in 1..=1000 {
        now += Duration::from_millis(100);
        catalog.advance(now);
        catalog.begin_replacing(step as usize % 4, now);
        assert!(catalog.history_len() <= HISTORY);
        for (follower, whole_lists) in followers.iter_mut().zip(&mut whole_lists) {
            let (every, since, held) = follower;
            if step % *every == 0 {
                let answer = catalog.answer(Some(*since));
                *whole_lists += u64::from(answer.whole);
                let answer = parse(&answer.body);
                assert_eq!(answer.generation, catalog.generation());
                *since = take(held, &answer);
                let whole = parse(&catalog.answer(None).body);
                assert_eq!(by_cell(held.values().collect()), by_cell(whole.instances.iter().collect()));
            }
        }
    }
    // The first answer is whole for all; the history reaches over some 15 steps.
    assert_eq!((whole_lists[0], whole_lists[1]), (1, 1));
    assert_eq!(whole_lists[2], 10, "a follower that comes too late is given the whole list");
}

#[test]
fn it_refuses_what_makes_no_sense_and_goes_on() {
    let mut discovery = start();
    let refused = |result: Result<u64, DiscoveryError>| matches!(result, Err(DiscoveryError::Refused(_)));
    assert!(refused(discovery.set_backends(MOST_BACKENDS + 1)));
    assert!(refused(discovery.replace(f64::MAX)));
    assert!(refused(discovery.replace(-1.0)));
    assert!(refused(discovery.down(Duration::from_secs(1 << 32))));
    assert!(discovery.set_backends(7400).is_ok());
    assert_eq!(discovery.report(false).expect("a report").calls, 0);
}

#[test]
fn it_ends_with_its_input_and_answers_a_malformed_line() {
    let mut command = Command::new(program());
    command.arg("scale-discovery").stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("a process");
    let mut input = child.stdin.take().expect("its input");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let mut next = || lines.next().expect("a line").expect("text");
    assert!(next().starts_with("{\"listening\":\"127.0.0.1:"));
    for malformed in ["", "{", "[]", "{\"command\":\"fly\"}", "{\"command\":\"set_backends\",\"count\":-1}"] {
        writeln!(input, "{malformed}").expect("written");
        let reply: Reply = serde_json::from_str(&next()).expect("a reply");
        assert!(matches!(reply, Reply::Refused { .. }), "{malformed}: {reply:?}");
    }
    drop(input);
    let begun = Instant::now();
    while child.try_wait().expect("its state").is_none() {
        if begun.elapsed() > WITHIN {
            child.kill().expect("it is ended");
            panic!("it lives on behind its input");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(child.wait().expect("its status").success());
}
