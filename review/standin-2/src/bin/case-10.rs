//! Case 10: a fleet is lost with all its disks; the backup, restored into a new fleet, takes its leader over the limit on
//! memory, and the platform kills it.

use review_2::fleet::{Place, places, resident_kib};
use review_2::head::{Head, temporary_folder};
use review_2::record::Record;
use review_2::{cannot_run, finish, has_trouble};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `limits.memory_mb` of each head: "A head has part of a core, 32 to 192 MB".
const MEMORY_MB: u32 = 32;
const LIMIT_KIB: u64 = MEMORY_MB as u64 * 1024;
const HEADS: usize = 3;
/// Exports of a tenant.
const EXPORTS: usize = 20;
/// More tenants than fit.
const MOST_TENANTS: usize = 2000;

type Heads = Arc<Mutex<Vec<Option<Head>>>>;

/// The platform: kills a head that is over its limit, and starts it again.
struct Platform {
    record: Record,
    places: Vec<Place>,
    heads: Heads,
    kills: Mutex<Vec<String>>,
    largest_kib: Mutex<Vec<u64>>,
    has_ended: AtomicBool,
}

impl Platform {
    fn start(places: Vec<Place>, record: &Record) -> Arc<Platform> {
        let heads: Vec<Option<Head>> = places.iter().map(|place| Some(place.start(&places, MEMORY_MB))).collect();
        let platform = Arc::new(Platform {
            record: record.clone(),
            largest_kib: Mutex::new(vec![0; places.len()]),
            places,
            heads: Arc::new(Mutex::new(heads)),
            kills: Mutex::default(),
            has_ended: AtomicBool::default(),
        });
        let watching = Arc::clone(&platform);
        thread::spawn(move || {
            while !watching.has_ended.load(Ordering::SeqCst) {
                for number in 0..HEADS {
                    watching.look_at(number);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        platform
    }

    fn look_at(&self, number: usize) {
        let mut heads = self.heads.lock().expect("the heads");
        let Some(head) = &mut heads[number] else { return };
        let Some(resident) = resident_kib(head.id()) else { return };
        let largest = &mut self.largest_kib.lock().expect("the largest")[number];
        *largest = resident.max(*largest);
        if resident <= LIMIT_KIB {
            return;
        }
        let line = format!("{} has {resident} KiB, over {LIMIT_KIB}", self.places[number].name);
        self.record.line(&format!("platform: {line}: KILLED"));
        self.kills.lock().expect("the kills").push(line);
        head.kill();
        heads[number] = Some(self.places[number].start(&self.places, MEMORY_MB));
    }

    fn stop(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.heads.lock().expect("the heads").iter_mut().for_each(|head| *head = None);
    }

    fn largest(&self) -> String {
        format!("{:?} KiB", self.largest_kib.lock().expect("the largest"))
    }
}

/// The settings of a tenant, some 3.5 KB.
fn tenant(number: usize) -> String {
    let export = |index: usize| {
        format!(
            r#"{{"name":"press-{number:04}-{index:02}","tree":"horvat","volume":"{:016x}","plan":"osnovni","shard":3,
"heads":3,"readClass":"citanje","writeClass":"nova-datoteka","largeClass":"izvoz","largeBytes":32768,"unitBytes":16384}}"#,
            0xb100 + 100 * number + index
        )
    };
    let exports: Vec<String> = (0..EXPORTS).map(export).collect();
    format!("{{\"exports\":[{}]}}", exports.join(","))
}

/// Tries again while there is no answer, or 503, for up to 10 s; the last status.
fn put(places: &[Place], number: usize) -> u16 {
    let begun = Instant::now();
    let (path, key) = (format!("/v1/tenants/shop-{number:04}"), format!("Idempotency-Key: k-{number}\r\n"));
    loop {
        let answer = places[number % HEADS].call("PUT", &path, &key, &tenant(number));
        let status = answer.map_or(0, |(status, _)| status);
        if (status != 0 && status != 503) || begun.elapsed() > Duration::from_secs(10) {
            return status;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Begins the fleet once all its heads answer.
fn begin(places: &[Place]) {
    let begun = Instant::now();
    while !places[0].command(&["begin"]).0 {
        if begun.elapsed() > Duration::from_secs(10) {
            cannot_run("the fleet does not begin");
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn main() {
    let record = Record::create();
    let folder = temporary_folder("10");
    let first = Platform::start(places(&folder.join("first"), HEADS), &record);
    begin(&first.places);
    let full = (0..MOST_TENANTS).find(|number| {
        let status = put(&first.places, *number);
        if !matches!(status, 200 | 201 | 409) {
            cannot_run(&format!("tenant {number}: status {status}"));
        }
        status == 409
    });
    let Some(tenants) = full else { cannot_run("the fleet takes all tenants") };
    record.line(&format!("the fleet holds {tenants} tenants, the next one gets 409; largest {}", first.largest()));
    let file = folder.join("backup");
    let file = file.to_str().expect("a path");
    let (has_backup, said) = first.places[0].command(&["backup", file]);
    record.line(&format!("backup: {said}"));
    if !has_backup {
        cannot_run("no backup");
    }
    let before = first.kills.lock().expect("the kills").len();
    let mut after = 0;
    if has_trouble() {
        first.stop();
        record.line("the fleet is lost with all its disks; a new one begins");
        let second = Platform::start(places(&folder.join("second"), HEADS), &record);
        begin(&second.places);
        let (is_restored, said) = second.places[0].command(&["restore", file]);
        record.line(&format!("restore: {is_restored}, {said}"));
        thread::sleep(Duration::from_secs(3));
        after = second.kills.lock().expect("the kills").len();
        record.line(&format!("largest {}", second.largest()));
        second.stop();
    } else {
        thread::sleep(Duration::from_secs(3));
        after += first.kills.lock().expect("the kills").len() - before;
        first.stop();
    }
    let line = format!("{tenants} tenants; heads killed over their limit: {before} before, {after} after");
    record.line(&line);
    println!("{line}");
    finish(before + after > 0)
}
