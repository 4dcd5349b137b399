//! Attempts whose last byte would come to their backend too late: past the window in which backends drop duplicates,
//! past their client's wait, or after their client has left. A backend begins a request with its last byte, so a
//! decision that was right when an attempt was started may be wrong by then.

mod peers;
mod standin;

use peers::{AttemptLog, Ending, SeenAttempt, Treatment, exchange, hold_up};
use serde_json::{Value, json};
use standin::{Discovery, Program, config, write_request};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The window in which the backends drop duplicates.
const WINDOW: Duration = Duration::from_millis(400);
/// What the protocol adds to each limit on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// An attempt begins at most so long after its client has left.
const LEAVE_LIMIT: Duration = Duration::from_millis(100);
/// For so long a head may be held up.
const LONGEST_HOLD: Duration = Duration::from_millis(150);
/// A body that fits into the system's buffers, and one that does not.
const MEDIUM_BODY: usize = 200_000;
const LARGE_BODY: usize = 6_000_000;

/// A head with these backends, whose writes carry an idempotency key that all of them know.
fn start(backends: &[SocketAddr], change: impl FnOnce(&mut Value)) -> (Discovery, Program) {
    let entry = |(number, address): (usize, &SocketAddr)| {
        json!({"instanceId": format!("s-{number}"), "hostPort": address.to_string(), "zone": "a",
            "machineType": "m", "cell": 3, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
    };
    let entries: Vec<Value> = backends.iter().enumerate().map(entry).collect();
    let discovery = Discovery::start(entries.clone());
    let mut config = config(discovery.address);
    config["known"] = json!({"generation": 1, "reset": true, "instances": entries});
    let write = &mut config["settings"]["classes"][1];
    write["repeat"] = json!("guarded");
    write["dedupWindow"] = json!(WINDOW.as_micros() as u64);
    write["goalTime"] = json!(1_000_000);
    write["deadline"] = json!(2_000_000);
    change(&mut config);
    let program = Program::start(&config, None);
    (discovery, program)
}

/// A write with a body of so many bytes, and its id.
fn write_of(bytes: usize, timeout_ms: u64) -> (String, Vec<u8>) {
    let text =
        write_request("b1", timeout_ms).replace("Content-Length: 4", &format!("Content-Length: {bytes}"));
    let head = text.trim_end_matches("body");
    let id = head.split("Request-Id: ").nth(1).and_then(|rest| rest.split("\r\n").next()).expect("an id");
    (id.to_owned(), [head.as_bytes(), &vec![b'w'; bytes]].concat())
}

/// Asserts that no backend takes an attempt for a new request though an earlier one has run.
fn assert_runs_once(attempts: &[SeenAttempt], what: &str) {
    let complete: Vec<Instant> = attempts.iter().filter_map(|attempt| attempt.last_byte_at).collect();
    let Some(first) = complete.iter().min() else { return };
    for at in &complete {
        let age = *at - *first;
        assert!(
            age <= WINDOW + SLACK,
            "{what}: ran again {age:?} after it had run, of a window of {WINDOW:?}"
        );
    }
}

/// Lets the first attempt of each write run and end at an age, and treats the others so.
fn first_ends_at(age: Duration, others: Treatment) -> AttemptLog {
    AttemptLog::new(move |_, number| match number {
        0 => Treatment { pause: Duration::ZERO, ending: Ending::CloseAt(age) },
        _ => others,
    })
}

/// Guards against a write that is applied twice: the head is held up while it sends a further attempt, be that one decided
/// on early or late in the window. Large bodies, so that the last byte is not in the system's buffers by then.
#[test]
fn a_write_runs_once_though_the_head_is_held_up_while_it_is_sent_again() {
    for age_ms in [100, 200, 240, 260, 380] {
        let head_id = Arc::new(AtomicU32::new(0));
        let held = Arc::clone(&head_id);
        let log = AttemptLog::new(move |_, number| match number {
            0 => Treatment { pause: Duration::ZERO, ending: Ending::CloseAt(Duration::from_millis(age_ms)) },
            _ => {
                hold_up(held.load(Ordering::SeqCst), LONGEST_HOLD);
                Treatment::SOUND
            }
        });
        let (_discovery, program) = start(&[log.start_backend(), log.start_backend()], |_| {});
        head_id.store(program.id(), Ordering::SeqCst);
        let (id, request) = write_of(LARGE_BODY, 2000);
        exchange(program.http, &request, Duration::from_secs(4)).expect("an answer");
        thread::sleep(Duration::from_millis(700));
        assert_runs_once(&log.attempts(&id), &format!("first attempt ended after {age_ms} ms"));
    }
}

/// Guards against a write that is applied twice: the further attempt's backend takes the body slowly, so that the last byte
/// lies in the head's memory or in the system's buffers as the window ends.
#[test]
fn a_write_runs_once_though_it_is_read_slowly_when_it_is_sent_again() {
    for bytes in [MEDIUM_BODY, LARGE_BODY] {
        let slow = Treatment { pause: Duration::from_millis(600), ending: Ending::Answer };
        let log = first_ends_at(Duration::from_millis(60), slow);
        let (_discovery, program) = start(&[log.start_backend(), log.start_backend()], |_| {});
        let (id, request) = write_of(bytes, 2000);
        let response = exchange(program.http, &request, Duration::from_secs(4)).expect("an answer");
        thread::sleep(Duration::from_millis(900));
        assert!(log.attempts(&id).len() > 1, "{bytes} bytes: it was not sent again");
        assert_runs_once(&log.attempts(&id), &format!("{bytes} bytes, answered with {}", response.status));
    }
}

/// A window leaves room for a further attempt: its answer comes from there.
#[test]
fn a_write_whose_connection_ends_early_is_served_by_a_further_attempt() {
    for bytes in [4, MEDIUM_BODY, LARGE_BODY] {
        let log = first_ends_at(Duration::from_millis(60), Treatment::SOUND);
        let (_discovery, program) = start(&[log.start_backend(), log.start_backend()], |_| {});
        let (id, request) = write_of(bytes, 2000);
        let response = exchange(program.http, &request, Duration::from_secs(4)).expect("an answer");
        assert_eq!(response.status, "200", "{bytes} bytes");
        assert_eq!(log.attempts(&id).len(), 2);
        assert_runs_once(&log.attempts(&id), &format!("{bytes} bytes"));
    }
}

/// A listener that lets no further connection come up until it is opened: its backlog is full.
struct ClosedListener {
    listener: TcpListener,
    crowd: Arc<Mutex<Vec<TcpStream>>>,
}

impl ClosedListener {
    fn bind() -> ClosedListener {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        socket.listen(1).expect("a listener");
        ClosedListener { listener: socket.into(), crowd: Arc::default() }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Fills the backlog of a listener, which takes one more than it was set to.
    fn fill(address: SocketAddr, crowd: &Mutex<Vec<TcpStream>>) {
        let connections = (0..2).filter_map(|_| TcpStream::connect(address).ok());
        crowd.lock().expect("a crowd").extend(connections);
    }
}

/// Guards against a write that is applied twice: the connection of the further attempt comes up a second after it was
/// begun.
#[test]
fn a_write_runs_once_though_the_connection_comes_up_late_when_it_is_sent_again() {
    for bytes in [4, LARGE_BODY] {
        let closed = ClosedListener::bind();
        let (address, crowd) = (closed.address(), Arc::clone(&closed.crowd));
        let log = AttemptLog::new(move |_, number| {
            if number > 0 {
                return Treatment::SOUND;
            }
            ClosedListener::fill(address, &crowd);
            Treatment { pause: Duration::ZERO, ending: Ending::CloseAt(Duration::from_millis(60)) }
        });
        let (_discovery, program) = start(&[address], |config| {
            config["settings"]["limits"]["dialTimeout"] = json!(1_800_000);
            config["settings"]["classes"][1]["goalTime"] = json!(2_500_000);
            config["settings"]["classes"][1]["deadline"] = json!(3_000_000);
        });
        let (id, request) = write_of(bytes, 3000);
        let http = program.http;
        let client = thread::spawn(move || exchange(http, &request, Duration::from_secs(4)));
        // The first attempt's connection alone; the backlog is full once it has run.
        let (first, _) = closed.listener.accept().expect("a connection");
        log.serve_stream(first);
        assert!(log.wait_for(&id, 1, Duration::from_secs(2)), "it was not sent");
        thread::sleep(Duration::from_millis(500));
        closed.crowd.lock().expect("a crowd").clear();
        log.serve(closed.listener);
        client.join().expect("a client").expect("an answer");
        thread::sleep(Duration::from_millis(1500));
        assert_runs_once(&log.attempts(&id), &format!("{bytes} bytes"));
    }
}

/// Guards against an attempt that begins long after its client has left: its backend reads nothing for a while, be the last
/// byte in the head's memory or in the system's buffers by then.
#[test]
fn no_attempt_begins_after_its_client_has_left_while_it_was_sent() {
    for bytes in [MEDIUM_BODY, LARGE_BODY] {
        let pause = Duration::from_millis(500);
        let log = AttemptLog::new(move |_, _| Treatment { pause, ending: Ending::Answer });
        let (_discovery, program) = start(&[log.start_backend()], |_| {});
        let (id, request) = write_of(bytes, 2000);
        let mut client = TcpStream::connect(program.http).expect("a connection");
        client.write_all(&request).expect("sent");
        assert!(log.wait_for(&id, 1, Duration::from_secs(2)), "it was not sent");
        thread::sleep(Duration::from_millis(50));
        drop(client);
        let left_at = Instant::now();
        thread::sleep(Duration::from_millis(1500));
        let late = log.attempts(&id).iter().filter_map(|attempt| attempt.last_byte_at).max();
        let late = late.map(|at| at.saturating_duration_since(left_at));
        assert!(
            late.is_none_or(|late| late <= LEAVE_LIMIT + SLACK),
            "{bytes} bytes: begun {late:?} after it left"
        );
    }
}

/// Guards against an attempt that begins after its client's wait, and after the answer: the last byte lay in the system's
/// buffers. The client is told that the request has not run.
#[test]
fn no_attempt_begins_after_its_clients_wait() {
    for bytes in [MEDIUM_BODY, LARGE_BODY] {
        let pause = Duration::from_millis(900);
        let log = AttemptLog::new(move |_, _| Treatment { pause, ending: Ending::Answer });
        let (_discovery, program) = start(&[log.start_backend()], |_| {});
        let (id, request) = write_of(bytes, 400);
        let sent_at = Instant::now();
        let response = exchange(program.http, &request, Duration::from_secs(4)).expect("an answer");
        thread::sleep(Duration::from_millis(1500));
        let begun = log.attempts(&id).iter().filter_map(|attempt| attempt.last_byte_at).max();
        let begun = begun.map(|at| at.saturating_duration_since(sent_at));
        assert_eq!(begun, None, "{bytes} bytes: begun after a wait of 400 ms");
        assert_eq!(response.status, "503", "{bytes} bytes");
    }
}
