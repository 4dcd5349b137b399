//! Case 10: a client closes its connection while the head still writes its request to a brick; the attempt begins, and
//! runs, long after.

use review_2::discovery::{Discovery, Entry};
use review_2::head::{Head, Start, temporary_folder};
use review_2::http::{self, Client, respond};
use review_2::record::Record;
use review_2::settings::{HeadConfig, RequestHead};
use review_2::{finish, free_address, has_trouble, listen};
use std::collections::HashMap;
use std::io::{BufReader, Read};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An attempt that begins later than this after its client's close is a lost request.
const LIMIT: Duration = Duration::from_millis(100);
/// What the protocol page adds to every time limit on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// Bytes of a write, and bytes a second that a brick takes: 0.7 s for a write. The buffers of the system hold less than
/// half of a write, so that the head writes most of it itself after the close.
const BODY: usize = 22 << 20;
const BRICK_RATE: f64 = 32.0 * 1024.0 * 1024.0;
/// How long the client waits before it closes.
const CLIENT_WAITS: Duration = Duration::from_millis(100);
const WRITES: u64 = 12;
const BRICKS: usize = 3;
const PART: usize = 64 * 1024;

struct Bricks {
    record: Record,
    /// When the last byte of a write had come, by its id.
    ran: Mutex<HashMap<String, Vec<Instant>>>,
}

impl Bricks {
    fn serve(&self, name: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::with_capacity(PART, stream);
        while let Some(head) = http::Head::read(&mut reader) {
            let id = head.field("request-id").to_owned();
            self.record.line(&format!("{name}: {id} begins to come"));
            if !read_at_pace(&mut reader, head.content_length()) {
                self.record.line(&format!("{name}: {id} broke off before its last byte"));
                return;
            }
            // "A brick begins a request once its last byte has come."
            self.ran.lock().expect("what ran").entry(id.clone()).or_default().push(Instant::now());
            self.record.line(&format!("{name}: last byte of {id}: it RUNS"));
            thread::sleep(Duration::from_millis(35));
            if respond(&mut writer, "200 OK", "", id.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Reads a body at the rate of a brick; whether all of it came.
fn read_at_pace(reader: &mut impl Read, length: usize) -> bool {
    let begun = Instant::now();
    let mut part = vec![0; PART];
    let mut received = 0;
    while received < length {
        let wanted = PART.min(length - received);
        if reader.read_exact(&mut part[..wanted]).is_err() {
            return false;
        }
        received += wanted;
        thread::sleep(Duration::from_secs_f64(received as f64 / BRICK_RATE).saturating_sub(begun.elapsed()));
    }
    true
}

fn main() {
    let record = Record::create();
    let bricks = Arc::new(Bricks { record: record.clone(), ran: Mutex::default() });
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
    let folder = temporary_folder("10");
    let listen = free_address();
    let mut config = HeadConfig::new(listen, discovery.address);
    config.known = discovery.json();
    let mut head = Head::start(&folder, &Start { config: config.json(), name: "n1", ..Start::default() });
    head.wait_until_healthy(listen);
    let body = vec![b'p'; BODY];
    let mut closed = HashMap::new();
    for number in 0..WRITES {
        let id = 0xa000_0000_0000_0000 + number;
        let request = RequestHead {
            method: "PUT",
            class: "nova-datoteka",
            id,
            plan: "prioritetni",
            volume: 0xb4d6_0021,
            units: 6,
            shard: -1,
            timeout_ms: 1200,
            body: BODY,
        };
        if let Ok(mut client) = Client::connect(listen, Duration::from_secs(4)) {
            let sent = client.send(&request.text(), &body).is_ok();
            record.line(&format!("client: write {id:016x} sent whole: {sent}"));
            if has_trouble() {
                thread::sleep(CLIENT_WAITS);
                drop(client);
                closed.insert(format!("{id:016x}"), Instant::now());
                record.line(&format!("client: the connection of {id:016x} is CLOSED"));
            } else {
                let status = client.receive().map_or("none".to_owned(), |(status, ..)| status.to_string());
                record.line(&format!("client: answer to {id:016x}: {status}"));
            }
        }
        thread::sleep(Duration::from_millis(1500));
    }
    let ran = bricks.ran.lock().expect("what ran");
    let mut late = Vec::new();
    for (id, closed_at) in &closed {
        let last = ran.get(id).into_iter().flatten().max();
        let after = last.map_or(Duration::ZERO, |at| at.saturating_duration_since(*closed_at));
        if after > LIMIT + SLACK {
            late.push(format!("{id}: {} ms", after.as_millis()));
        }
    }
    late.sort();
    let line =
        format!("{WRITES} writes, {} ran, {} begun late after the close: {late:?}", ran.len(), late.len());
    record.line(&line);
    println!("{line}");
    drop(ran);
    head.kill();
    finish(!late.is_empty())
}
