//! Case 7: a guarded write that may have run goes out again after its window, when the head is held up for less than
//! 0.15 s while it sends the further attempt.

use review_2::discovery::{Discovery, Entry};
use review_2::head::{Head, Start, send_signal, temporary_folder};
use review_2::http::{self, Client, respond};
use review_2::record::Record;
use review_2::settings::{HeadConfig, RequestHead};
use review_2::{finish, free_address, has_trouble, listen};
use std::collections::HashMap;
use std::io::{BufReader, Read};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `dedupWindow` of the class.
const WINDOW: Duration = Duration::from_millis(200);
/// What the protocol page adds to every time limit on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// The page's limit: a head is held up for up to 0.15 s between reading its clock and writing.
const HOLD: Duration = Duration::from_millis(115);
/// How long before the end of the window the connection of the first attempt ends.
const END_BEFORE_WINDOW: Duration = Duration::from_millis(20);
const WRITES: u64 = 15;
const PAUSE: Duration = Duration::from_millis(1500);
/// Bytes of a write: "bodies reach 32 MB".
const BODY: usize = 8 << 20;
const BRICKS: usize = 9;

/// What the bricks know of a write, as those of a group (`group`: all) know it together.
#[derive(Default)]
struct Known {
    attempts: u32,
    /// When the last byte of the attempt that was applied last had come.
    applied_at: Option<Instant>,
    times_applied: u32,
}

struct Bricks {
    record: Record,
    known: Mutex<HashMap<String, Known>>,
    head: AtomicU32,
    has_trouble: bool,
}

impl Bricks {
    fn serve(&self, name: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::with_capacity(256 * 1024, stream);
        let mut body = vec![0; BODY];
        while let Some(head) = http::Head::read(&mut reader) {
            let began_at = Instant::now();
            let id = head.field("request-id").to_owned();
            let attempt = {
                let mut known = self.known.lock().expect("what is known");
                let known = known.entry(id.clone()).or_default();
                known.attempts += 1;
                known.attempts
            };
            self.record.line(&format!("{name}: attempt {attempt} of {id} begins to come"));
            if attempt == 2 && self.has_trouble {
                self.hold_head_up();
            }
            if reader.read_exact(&mut body[..head.content_length()]).is_err() {
                self.record
                    .line(&format!("{name}: attempt {attempt} of {id} broke off before its last byte"));
                return;
            }
            let last_byte_at = Instant::now();
            self.run(name, &id, attempt, last_byte_at);
            if attempt == 1 {
                // The connection ends under a request that has begun, and has run.
                thread::sleep(
                    (began_at + WINDOW - END_BEFORE_WINDOW).saturating_duration_since(Instant::now()),
                );
                self.record.line(&format!("{name}: the connection ends under attempt 1 of {id}"));
                return;
            }
            if respond(&mut writer, "200 OK", "", id.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Applies a write, unless one with this id was applied within the window, and the slack, before.
    fn run(&self, name: &str, id: &str, attempt: u32, last_byte_at: Instant) {
        let mut known = self.known.lock().expect("what is known");
        let known = known.entry(id.to_owned()).or_default();
        let age = known.applied_at.map(|at| last_byte_at - at);
        let is_repeat = age.is_some_and(|age| age <= WINDOW + SLACK);
        if !is_repeat {
            known.times_applied += 1;
            known.applied_at = Some(last_byte_at);
        }
        let done = if is_repeat { "dropped as a repeat" } else { "APPLIED" };
        let age = age.map_or(String::new(), |age| {
            format!(", {:.1} ms after the last byte of the first attempt", age.as_secs_f64() * 1000.0)
        });
        self.record.line(&format!("{name}: last byte of attempt {attempt} of {id}: {done}{age}"));
    }

    /// Stops the head's process and lets it go on after `HOLD`.
    fn hold_head_up(&self) {
        let id = self.head.load(Ordering::SeqCst);
        send_signal(id, "STOP");
        let begun = Instant::now();
        self.record.line("the head is held up");
        thread::spawn(move || {
            thread::sleep(HOLD - begun.elapsed());
            send_signal(id, "CONT");
        });
    }
}

fn main() {
    let record = Record::create();
    let bricks = Arc::new(Bricks {
        record: record.clone(),
        known: Mutex::default(),
        head: AtomicU32::default(),
        has_trouble: has_trouble(),
    });
    let mut entries = Vec::new();
    for number in 0..BRICKS {
        let (listener, address) = listen();
        let (bricks, id) = (Arc::clone(&bricks), format!("s-{number}"));
        entries.push(Entry {
            id: id.clone(),
            address,
            shard: number as u32,
            lifecycle: "ready",
            started_at_ms: 0,
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (bricks, id) = (Arc::clone(&bricks), id.clone());
                thread::spawn(move || bricks.serve(&id, stream));
            }
        });
    }
    let discovery = Discovery::start(entries);
    let folder = temporary_folder("7");
    let listen = free_address();
    let mut config = HeadConfig::new(listen, discovery.address);
    config.known = discovery.json();
    let write = config.classes.iter_mut().find(|class| class.writes).expect("a class that writes");
    (write.repeat, write.dedup_window_us) = ("guarded", WINDOW.as_micros() as u64);
    let timeout_ms = write.deadline_us / 1000;
    let mut head = Head::start(&folder, &Start { config: config.json(), name: "n1", ..Start::default() });
    bricks.head.store(head.id(), Ordering::SeqCst);
    head.wait_until_healthy(listen);
    let body = vec![b'p'; BODY];
    for number in 0..WRITES {
        let id = 0x7000_0000_0000_0000 + number;
        let request = RequestHead {
            method: "PUT",
            class: "nova-datoteka",
            id,
            plan: "prioritetni",
            volume: 0xb4d6_0021,
            units: 6,
            shard: -1,
            timeout_ms,
            body: BODY,
        };
        let answer = Client::connect(listen, Duration::from_secs(4)).ok().and_then(|mut client| {
            client.send(&request.text(), &body).ok()?;
            record.line(&format!("client: write {id:016x} sent"));
            client.receive()
        });
        let status = answer.map_or("none".to_owned(), |(status, ..)| status.to_string());
        record.line(&format!("client: answer to {id:016x}: {status}"));
        thread::sleep(PAUSE);
    }
    let known = bricks.known.lock().expect("what is known");
    let twice: Vec<&String> =
        known.iter().filter(|(_, known)| known.times_applied > 1).map(|(id, _)| id).collect();
    let line = format!("{} writes, {} applied twice: {twice:?}", known.len(), twice.len());
    record.line(&line);
    println!("{line}");
    let broken = !twice.is_empty();
    drop(known);
    head.kill();
    finish(broken)
}
