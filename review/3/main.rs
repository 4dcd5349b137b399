//! Case: the settings of a fleet's tenants are changed again and again.

use review::brick::Brick;
use review::discovery::Discovery;
use review::fleet::{FleetHead, three_heads_with};
use review::head::{Folder, Head, root};
use review::ninep::{FileClient, FileServer};
use review::record::Record;
use review::{BROKEN, COULD_NOT_RUN, HELD, run_case, trouble};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The limits of a head on the days last played, by the README.
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;
/// "a service for twenty small print shops".
const TENANTS: u64 = 20;
const EXPORTS: u64 = 20;
/// Time between an operator's changes: some 40 a second.
const CHANGE_PAUSE: Duration = Duration::from_millis(20);
const RUN: Duration = Duration::from_secs(60);
/// How often the platform looks at the heads' memory.
const PLATFORM_INTERVAL: Duration = Duration::from_millis(20);
/// After so many kills a head is not started again, and after so many such heads the run ends.
const MOST_KILLS: u32 = 3;
const MOST_GIVEN_UP: u64 = 2;

fn main() {
    run_case(case)
}

/// Memory that a process has resident, in KiB; 0 once it has ended.
fn resident_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let figure = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    figure.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// The settings of a tenant, in their N-th form: only the size of a large read differs.
fn tenant(number: u64, form: u64) -> Value {
    let export = |index: u64| {
        json!({"name": format!("press-{number:02}-{index:02}"), "tree": "horvat", "plan": "osnovni", "shard": 3,
            "volume": format!("{:016x}", 0xb100 + 100 * number + index), "heads": 3, "readClass": "citanje",
            "writeClass": "nova-datoteka", "largeClass": "izvoz", "largeBytes": 32_768 + form, "unitBytes": 16_384})
    };
    json!({"exports": (0..EXPORTS).map(export).collect::<Vec<Value>>()})
}

/// Puts a tenant in place at any head that answers; whether that was promised.
fn put_tenant(fleet: &[FleetHead], number: u64, form: u64, record: &Record) -> bool {
    let (request, body) = (format!("PUT /v1/tenants/shop-{number:02}"), tenant(number, form).to_string());
    let headers = format!("Idempotency-Key: shop-{number}-{form}\r\n");
    let at = &fleet[(number % 3) as usize];
    at.change(&request, &headers, &body, record).is_some_and(|status| matches!(status, 200 | 201))
}

/// What became of one head.
#[derive(Default)]
struct Fate {
    /// KiB that it held at the most.
    most_kib: u64,
    killed: u32,
}

fn case() -> i32 {
    let record = Record::create(&root().join("review/3"));
    let files = FileServer::start("s-1", &["horvat"], Duration::from_millis(5), &record);
    files.put(&["horvat", "naklada.txt"], "naklada");
    let other = Brick::start("s-2", 0, (15_000, 30_000), None, 1, &record);
    let discovery = Discovery::start(vec![other.entry()]);
    let folder = Folder::create("3");
    let fleet = three_heads_with(&folder.0, &discovery, &files, MEMORY_MB, SOCKETS);
    let heads: Vec<Head> = fleet.iter().map(|head| head.files.start(&record)).collect();
    fleet[0].begin(&record);
    for number in 0..TENANTS {
        let begun = Instant::now();
        while !put_tenant(&fleet, number, 0, &record) {
            assert!(begun.elapsed() < Duration::from_secs(20), "a tenant was not put in place");
            std::thread::sleep(Duration::from_millis(200));
        }
    }
    let at_first: Vec<u64> = heads.iter().map(|head| resident_kib(head.id()) / 1024).collect();
    record.say(format!(
        "{TENANTS} tenants with {EXPORTS} exports each; the heads hold {at_first:?} MiB of {MEMORY_MB}"
    ));

    let is_over = AtomicBool::new(false);
    let (changes, served, unanswered) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let given_up = AtomicU64::new(0);
    let mut fates = Vec::new();
    std::thread::scope(|scope| {
        scope.spawn(|| read_on(&fleet[0], &record, &is_over, &served, &unanswered));
        if trouble() {
            scope.spawn(|| change_on(&fleet, &record, &is_over, &changes));
        }
        let platforms: Vec<_> = heads
            .into_iter()
            .zip(&fleet)
            .map(|(head, files)| scope.spawn(|| keep_up(head, files, &given_up, &record)))
            .collect();
        fates = platforms.into_iter().filter_map(|platform| platform.join().ok()).collect();
        is_over.store(true, Ordering::SeqCst);
    });
    for (head, Fate { most_kib, killed }) in fleet.iter().zip(&fates) {
        let name = &head.files.name;
        record.say(format!(
            "{name} held {} MiB at the most; over its limit and killed {killed} times",
            most_kib / 1024
        ));
    }
    let (changes, served, unanswered) = (changes.into_inner(), served.into_inner(), unanswered.into_inner());
    record.say(format!(
        "{changes} changes promised; a client of h1: {served} reads served, {unanswered} unanswered"
    ));
    match () {
        () if fates.len() < fleet.len() || served == 0 => COULD_NOT_RUN,
        () if fates.iter().any(|fate| fate.killed > 0) => BROKEN,
        () => HELD,
    }
}

/// The platform: over memory_mb a head is killed, and started again under its name and addresses with its disk.
fn keep_up(mut head: Head, files: &FleetHead, given_up: &AtomicU64, record: &Record) -> Fate {
    let mut fate = Fate::default();
    let begun = Instant::now();
    while begun.elapsed() < RUN && given_up.load(Ordering::SeqCst) < MOST_GIVEN_UP {
        let kib = resident_kib(head.id());
        fate.most_kib = fate.most_kib.max(kib);
        if kib > MEMORY_MB * 1024 {
            record.line(format!("platform: {} holds {kib} KiB, over its limit, and is killed", head.name));
            head.kill();
            fate.killed += 1;
            let again = if fate.killed < MOST_KILLS { files.files.try_start(record) } else { None };
            let Some(again) = again else {
                record.line(format!("platform: {} is not started again", files.files.name));
                given_up.fetch_add(1, Ordering::SeqCst);
                return fate;
            };
            head = again;
        }
        std::thread::sleep(PLATFORM_INTERVAL);
    }
    fate
}

/// Operators change one tenant after the other.
fn change_on(fleet: &[FleetHead], record: &Record, is_over: &AtomicBool, changes: &AtomicU64) {
    let mut form = 0;
    while !is_over.load(Ordering::SeqCst) {
        form += 1;
        for number in 0..TENANTS {
            if put_tenant(fleet, number, form, record) {
                changes.fetch_add(1, Ordering::SeqCst);
            }
            std::thread::sleep(CHANGE_PAUSE);
        }
    }
}

/// A client that reads a file through h1 again and again, with a new session after an end.
fn read_on(
    head: &FleetHead,
    record: &Record,
    is_over: &AtomicBool,
    served: &AtomicU64,
    unanswered: &AtomicU64,
) {
    let quiet = record;
    while !is_over.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(100));
        let Ok(mut client) = FileClient::attach("desk", head.ninep, "press-00-00", quiet) else { continue };
        if client.walk(1, &["naklada.txt"]).and_then(|_| client.open(1, 0)).is_err() {
            continue;
        }
        match client.read(1, 0, 100) {
            Ok(_) => served.fetch_add(1, Ordering::SeqCst),
            Err(ename) if ename == "the connection ended" => unanswered.fetch_add(1, Ordering::SeqCst),
            Err(_) => 0,
        };
    }
}
