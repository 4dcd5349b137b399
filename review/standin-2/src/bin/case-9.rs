//! Case 9: while heads are restarted with a new plan, a head with the old settings shows a tenant without an export on that
//! plan; written back if the tenant still stands at that version, the export is gone at all heads.

use review_2::fleet::{Place, places};
use review_2::head::{Head, temporary_folder};
use review_2::record::Record;
use review_2::{cannot_run, finish, has_trouble};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 192;
const TENANT: &str = "/v1/tenants/horvat";
const OLD_PLAN: &str = "osnovni";
const NEW_PLAN: &str = "zlatni";
/// Long enough for a change to be at all heads: "within seconds elsewhere".
const SETTLE: Duration = Duration::from_secs(2);

fn export(name: &str, plan: &str) -> String {
    format!(
        r#"{{"name":"{name}","tree":"{name}-2026","plan":"{plan}","shard":3,"volume":"00000003b4d60021","heads":1,
"readClass":"citanje","writeClass":"nova-datoteka","largeClass":"izvoz"}}"#
    )
}

/// The array of exports in an answer, without its brackets, and the version of the tenant.
fn exports_and_version(text: &str) -> Option<(String, String)> {
    let exports = text.split("\"exports\":[").nth(1)?.split(']').next()?.to_owned();
    let version = text.split("\"version\":").nth(1)?.split(['}', ',']).next()?.to_owned();
    Some((exports, version))
}

struct Fleet {
    record: Record,
    places: Vec<Place>,
    heads: Vec<Head>,
}

impl Fleet {
    fn call(&self, head: usize, method: &str, path: &str, fields: &str, body: &str) -> (u16, String) {
        let place = &self.places[head];
        let begun = Instant::now();
        loop {
            let answer = place.call(method, path, fields, body);
            self.record.line(&format!(
                "{} {method} {path} {}{body}: {answer:?}",
                place.name,
                fields.replace("\r\n", " ")
            ));
            match answer {
                Some((status, text)) if status != 503 => return (status, text),
                _ if begun.elapsed() > Duration::from_secs(10) => cannot_run("no answer"),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
    }

    /// A planned restart with the settings of now: SIGTERM, the end, and a start.
    fn restart_with_new_plan(&mut self, head: usize) {
        let place = &self.places[head];
        self.heads[head].signal("TERM");
        if !self.heads[head].wait_for_end(Duration::from_millis(3700)) {
            self.heads[head].kill();
        }
        let mut config = place.configuration(MEMORY_MB);
        config.further_plans.push(NEW_PLAN.to_owned());
        self.heads[head] = place.start_with(&self.places, &config);
        self.heads[head].wait_until_healthy(place.http);
        self.record.line(&format!("{} is RESTARTED, with the plan {NEW_PLAN}", place.name));
        thread::sleep(SETTLE);
    }
}

fn main() {
    let record = Record::create();
    let folder = temporary_folder("9");
    let places = places(&folder, 3);
    let heads: Vec<Head> = places.iter().map(|place| place.start(&places, MEMORY_MB)).collect();
    let begun = Instant::now();
    while !places[0].command(&["begin"]).0 {
        if begun.elapsed() > Duration::from_secs(10) {
            cannot_run("the fleet does not begin");
        }
        thread::sleep(Duration::from_millis(100));
    }
    let mut fleet = Fleet { record: record.clone(), places, heads };
    let first = format!("{{\"exports\":[{}]}}", export("press", OLD_PLAN));
    if !matches!(fleet.call(0, "PUT", TENANT, "", &first).0, 200 | 201) {
        cannot_run("the tenant is not put in place");
    }
    thread::sleep(SETTLE);
    // All heads are to have a further plan, and are restarted one after the other.
    fleet.restart_with_new_plan(0);
    if !has_trouble() {
        // All of them before anybody uses it.
        fleet.restart_with_new_plan(1);
        fleet.restart_with_new_plan(2);
    }
    let gold = fleet.call(0, "PUT", &format!("{TENANT}/exports/gold"), "", &export("gold", NEW_PLAN)).0;
    if !matches!(gold, 200 | 201) {
        cannot_run("the export on the new plan is not taken");
    }
    thread::sleep(SETTLE);
    // Another administrator adds an export at a head that is still to be restarted: reads, and writes if nothing has changed.
    let (_, text) = fleet.call(2, "GET", TENANT, "Fleet-Read: latest\r\n", "");
    let Some((exports, version)) = exports_and_version(&text) else {
        cannot_run("the tenant cannot be read")
    };
    let body = format!("{{\"exports\":[{exports},{}]}}", export("proofs", OLD_PLAN));
    let added = fleet.call(2, "PUT", TENANT, &format!("If-Match: \"{version}\"\r\n"), &body).0;
    thread::sleep(SETTLE);
    if has_trouble() {
        fleet.restart_with_new_plan(1);
        fleet.restart_with_new_plan(2);
    }
    let (_, text) = fleet.call(0, "GET", TENANT, "Fleet-Read: latest\r\n", "");
    let has_gold = text.contains("\"name\":\"gold\"");
    // A 412 would have been right, as the tenant does not stand as it was read.
    let line = format!(
        "the export on the new plan: 201; the other administrator's change: {added}; it is there: {has_gold}"
    );
    record.line(&line);
    println!("{line}");
    fleet.heads.iter_mut().for_each(Head::kill);
    finish(!has_gold)
}
