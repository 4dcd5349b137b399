//! Case 6: two administrators change one tenant, each only if it stands at the version that was read; acknowledged changes
//! are undone all the same.

use review_2::fleet::{Place, places};
use review_2::head::{Head, temporary_folder};
use review_2::record::Record;
use review_2::{cannot_run, finish, has_trouble};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 192;
const RUN: Duration = Duration::from_secs(40);
/// An administrator waits for up to so long between two changes.
const MOST_PAUSE_MS: u64 = 20;
const TENANT: &str = "/v1/tenants/horvat";
/// The exports of the tenant; each administrator changes the tree of the one with the administrator's name.
const EXPORTS: [&str; 2] = ["ana", "ivo"];

/// The number in the tree of each export.
type Trees = BTreeMap<String, u64>;

/// A sequence of numbers that looks random, from a seed.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn body(trees: &Trees) -> String {
    let exports: Vec<String> = trees
        .iter()
        .map(|(name, tree)| {
            format!(
                r#"{{"name":"{name}","tree":"v{tree}","plan":"osnovni","shard":3,"volume":"00000003b4d60021","heads":1,
"readClass":"citanje","writeClass":"nova-datoteka","largeClass":"izvoz"}}"#
            )
        })
        .collect();
    format!("{{\"exports\":[{}]}}", exports.join(","))
}

/// What stands behind a key in a text of JSON, up to the end of the value.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let rest = text.split(&format!("\"{key}\":")).nth(1)?.trim_start_matches('"');
    rest.split(['"', ',', '}']).next()
}

/// The trees and the version that an answer says.
fn read(text: &str) -> Option<(Trees, u64)> {
    let mut trees = Trees::new();
    for export in text.split('}').filter(|export| export.contains("\"tree\":")) {
        let tree = value(export, "tree")?.strip_prefix('v')?.parse().ok()?;
        trees.insert(value(export, "name")?.to_owned(), tree);
    }
    Some((trees, value(text, "version")?.parse().ok()?))
}

/// What all administrators share.
#[derive(Default)]
struct Shared {
    has_ended: AtomicBool,
    acknowledged: AtomicU64,
    refused: AtomicU64,
    undone: Mutex<Vec<String>>,
}

/// Reads the tenant, changes the own export's tree, and writes the tenant if it still stands at the version that was read;
/// again and again.
fn administer(name: &str, place: &Place, seed: u64, shared: &Shared, record: &Record) {
    let (mut numbers, mut last, mut last_version) = (Numbers(seed), 0, 0);
    while !shared.has_ended.load(Ordering::SeqCst) {
        let Some((200, text)) = place.call("GET", TENANT, "", "") else { continue };
        let Some((mut trees, version)) = read(&text) else { cannot_run(&format!("cannot read {text}")) };
        let found = trees[name];
        if found < last {
            let line = format!(
                "{name} at {}: v{last}, acknowledged at version {last_version}, is UNDONE: v{found} at version {version}",
                place.name
            );
            record.line(&line);
            shared.undone.lock().expect("what was undone").push(line);
            last = found;
        }
        trees.insert(name.to_owned(), found + 1);
        let condition = format!("If-Match: \"{version}\"\r\n");
        match place.call("PUT", TENANT, &condition, &body(&trees)) {
            Some((200, _)) => {
                (last, last_version) = (found + 1, version + 1);
                shared.acknowledged.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("{name} at {}: {trees:?} if at {version}: 200", place.name));
            }
            Some((412, _)) => drop(shared.refused.fetch_add(1, Ordering::SeqCst)),
            other => record.line(&format!("{name} at {}: if at {version}: {other:?}", place.name)),
        }
        thread::sleep(Duration::from_millis(numbers.next(MOST_PAUSE_MS)));
    }
}

fn main() {
    let record = Record::create();
    let folder = temporary_folder("6");
    let places = places(&folder, 3);
    let mut heads: Vec<Head> = places.iter().map(|place| place.start(&places, MEMORY_MB)).collect();
    let begun = Instant::now();
    while !places[0].command(&["begin"]).0 {
        if begun.elapsed() > Duration::from_secs(10) {
            cannot_run("the fleet does not begin");
        }
        thread::sleep(Duration::from_millis(100));
    }
    let trees: Trees = EXPORTS.iter().map(|name| ((*name).to_owned(), 0)).collect();
    while !matches!(places[0].call("PUT", TENANT, "", &body(&trees)), Some((200 | 201, _))) {
        if begun.elapsed() > Duration::from_secs(20) {
            cannot_run("the tenant is not put in place");
        }
        thread::sleep(Duration::from_millis(100));
    }
    for place in &places {
        while !matches!(place.call("GET", TENANT, "", ""), Some((200, _))) {
            thread::sleep(Duration::from_millis(50));
        }
    }
    let shared = Arc::new(Shared::default());
    let administrators = if has_trouble() { 2 } else { 1 };
    let threads: Vec<_> = (0..administrators)
        .map(|number| {
            let (place, shared, record) = (places[number + 1].clone(), Arc::clone(&shared), record.clone());
            thread::spawn(move || administer(EXPORTS[number], &place, number as u64 + 1, &shared, &record))
        })
        .collect();
    thread::sleep(RUN);
    shared.has_ended.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let undone = shared.undone.lock().expect("what was undone").len();
    let line = format!(
        "{} changes acknowledged, {} refused with 412; acknowledged changes undone: {undone}",
        shared.acknowledged.load(Ordering::SeqCst),
        shared.refused.load(Ordering::SeqCst),
    );
    record.line(&line);
    println!("{line}");
    heads.iter_mut().for_each(Head::kill);
    finish(undone > 0)
}
