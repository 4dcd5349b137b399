//! Case: bad 9P clients connect, attach under a long user name, and go.

use review::brick::Brick;
use review::discovery::Discovery;
use review::head::{Folder, HeadFiles, root, settings};
use review::ninep::{FileClient, FileServer};
use review::record::Record;
use review::{BROKEN, COULD_NOT_RUN, HELD, free_address, run_case, trouble};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The limits of a head on the days last played, by the README.
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;
const RUN: Duration = Duration::from_secs(60);
/// Bad clients at once; each is gone before the next one of its place comes.
const BAD_CLIENTS: u64 = 4;
/// A string of 9P has up to 65,535 bytes, and a message of this head up to 64 KiB and its header.
const NAME_BYTES: usize = 60_000;
/// Time between a bad client's end and the next one of its place.
const BAD_PAUSE: Duration = Duration::from_millis(100);
/// How often the platform looks at the head's memory.
const PLATFORM_INTERVAL: Duration = Duration::from_millis(20);

fn main() {
    run_case(case)
}

/// Memory that a process has resident, in KiB; 0 once it has ended.
fn resident_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let figure = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    figure.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

fn case() -> i32 {
    let record = Record::create(&root().join("review/3"));
    let files = FileServer::start("s-1", &["horvat"], Duration::from_millis(5), &record);
    files.put(&["horvat", "naklada.txt"], "naklada");
    let other = Brick::start("s-2", 0, (15_000, 30_000), None, 1, &record);
    let discovery = Discovery::start(vec![other.entry()]);
    let folder = Folder::create("3");
    let ninep = free_address();
    let config = json!({"name": "n0", "listen": free_address().to_string(), "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": discovery.known(), "settings": settings(1)});
    let operator = format!(
        "(ninep (listen \"{ninep}\"))\n(tenant horvat (export press (tree \"horvat\") (volume \"b1\") (plan osnovni)\n  \
         (shard 3) (heads 1) (read-class citanje) (write-class nova-datoteka) (large-class izvoz)))\n\
         (box \"s-1\" (address \"{}\") (shard 3))\n",
        files.address
    );
    let head_files = HeadFiles::write(&folder.0, &config, Some(&operator));
    let mut head = head_files.start(&record);
    record.say(format!("the head holds {} MiB of {MEMORY_MB}", resident_kib(head.id()) / 1024));

    let is_over = AtomicBool::new(false);
    let (served, unanswered, bad) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let mut was_killed_at = None;
    let mut most_kib = 0;
    let begun = Instant::now();
    std::thread::scope(|scope| {
        scope.spawn(|| read_on(ninep, &record, &is_over, &served, &unanswered));
        if trouble() {
            for place in 0..BAD_CLIENTS {
                let (record, is_over, bad) = (&record, &is_over, &bad);
                scope.spawn(move || come_and_go(ninep, place, record, is_over, bad));
            }
        }
        // The platform: over memory_mb the head is killed.
        while begun.elapsed() < RUN && was_killed_at.is_none() {
            let kib = resident_kib(head.id());
            most_kib = most_kib.max(kib);
            if kib > MEMORY_MB * 1024 {
                head.kill();
                was_killed_at = Some(begun.elapsed());
                record.line(format!("platform: the head holds {kib} KiB, over its limit, and is killed"));
            }
            std::thread::sleep(PLATFORM_INTERVAL);
        }
        std::thread::sleep(Duration::from_millis(500));
        is_over.store(true, Ordering::SeqCst);
    });
    let (served, unanswered, bad) = (served.into_inner(), unanswered.into_inner(), bad.into_inner());
    record.say(format!("{bad} bad clients came and went; the head held {} MiB at the most", most_kib / 1024));
    record.say(format!("the sound client: {served} reads served, {unanswered} without an answer"));
    match was_killed_at {
        Some(after) => {
            record.say(format!("over its limit and killed after {after:.1?}"));
            BROKEN
        }
        None if unanswered > 0 => BROKEN,
        None if served > 0 => HELD,
        None => COULD_NOT_RUN,
    }
}

/// A sound client that reads a file again and again.
fn read_on(
    ninep: SocketAddr,
    record: &Record,
    is_over: &AtomicBool,
    served: &AtomicU64,
    unanswered: &AtomicU64,
) {
    let Ok(mut client) = FileClient::attach("desk", ninep, "press", record) else { return };
    if client.walk(1, &["naklada.txt"]).and_then(|_| client.open(1, 0)).is_err() {
        return;
    }
    while !is_over.load(Ordering::SeqCst) {
        match client.read(1, 0, 100) {
            Ok(text) if text == "naklada" => served.fetch_add(1, Ordering::SeqCst),
            // Refused or failed: a final answer too.
            Err(ename) if ename != "the connection ended" => 0,
            _ => {
                unanswered.fetch_add(1, Ordering::SeqCst);
                return;
            }
        };
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Bad clients, one after the other: each connects, attaches under a long name of its own, and goes.
fn come_and_go(ninep: SocketAddr, place: u64, record: &Record, is_over: &AtomicBool, count: &AtomicU64) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let name = format!("{place}-{number:06}-{}", "x".repeat(NAME_BYTES));
        if FileClient::attach(&name, ninep, "press", record).is_ok() {
            count.fetch_add(1, Ordering::SeqCst);
        }
        std::thread::sleep(BAD_PAUSE);
    }
}
