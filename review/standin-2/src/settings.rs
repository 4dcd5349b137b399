//! The platform's JSON for a head: the settings of `sesvete-pogon`, as WIRE-sedgerun.md has them, with what a case
//! changes.

use std::net::SocketAddr;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub goal_us: u64,
    pub deadline_us: u64,
    /// `free`, `guarded` or `single_shot`.
    pub repeat: &'static str,
    pub dedup_window_us: u64,
    pub writes: bool,
}

/// The classes of `sesvete-pogon`.
pub fn classes() -> Vec<Class> {
    let class = |name, goal_us, deadline_us, repeat, writes| Class {
        name,
        goal_us,
        deadline_us,
        repeat,
        dedup_window_us: 5_000_000,
        writes,
    };
    vec![
        class("citanje", 200_000, 1_000_000, "free", false),
        class("nova-datoteka", 250_000, 1_200_000, "single_shot", true),
        class("izvoz", 1_200_000, 4_000_000, "free", false),
    ]
}

/// What a head is told.
#[derive(Clone, Debug)]
pub struct HeadConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub mgmt: Option<SocketAddr>,
    pub known: String,
    pub classes: Vec<Class>,
    /// Names of plans beside those of `sesvete-pogon`.
    pub further_plans: Vec<String>,
    /// Heads of the fleet.
    pub heads: u32,
    pub memory_mb: u32,
    pub sockets: u32,
    pub cold_units: f64,
    pub mean_units: f64,
}

impl HeadConfig {
    /// A head of a small deployment with the settings of `sesvete-pogon`.
    pub fn new(listen: SocketAddr, discovery: SocketAddr) -> HeadConfig {
        HeadConfig {
            name: "n1".to_owned(),
            listen,
            discovery,
            mgmt: None,
            known: String::new(),
            classes: classes(),
            further_plans: Vec::new(),
            heads: 1,
            memory_mb: 192,
            sockets: 1024,
            cold_units: 13.0,
            mean_units: 1.99,
        }
    }

    /// The text of the configuration.
    pub fn json(&self) -> String {
        let known = if self.known.is_empty() { String::new() } else { format!("\"known\":{},", self.known) };
        let mgmt = self.mgmt.map_or(String::new(), |address| format!("\"mgmt\":\"{address}\","));
        let classes: Vec<String> = self.classes.iter().map(class_json).collect();
        let mut plans = vec![
            plan_json("osnovni", 0.8, 2.0, 4.1),
            plan_json("poslovni", 1.2, 4.9, 6.1),
            plan_json("prioritetni", 1.5, 8.0, 10.0),
        ];
        plans.extend(self.further_plans.iter().map(|name| plan_json(name, 1.5, 8.0, 10.0)));
        let writes: Vec<String> = self.classes.iter().map(|class| class.writes.to_string()).collect();
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}",{mgmt}"seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{known}
"settings":{{"balancers":{},"classes":[{}],
"clients":{{"marksRetry":true}},"family":"stores",
"goal":{{"whole":0.55,"worstClass":0.0,"worstTenant":0.2,"worstWindow":0.25}},
"kinds":["dvojezgra","mala"],"layers":["spremiste"],
"limits":{{"cancel":true,"connIdle":15000000,"cpuUsPerRequest":0.0,"cpuUsPerS":300000,"dialTimeout":250000,
"maxAttempts":4,"maxOpen":20000,"maxRetryAfter":2000000,"multiplex":1,"peers":false,"probing":true,
"retryAfter":true,"secondCopies":false}},
"loadInfo":{{"fields":[],"how":"off"}},"membershipMode":"subscribe","myNumber":0,"period":2000,
"plans":[{}],
"prices":{{"probe":0.0084,"waste":0.051}},
"rules":{{"answerSlack":8000,"askWithin":10000000,"drainGrace":250000,"fall":1500000,"startCapacity":0.15,
"tipMultiple":3.0,"warmWithin":18000000}},
"specifics":{{"changesData":[{}],"coldUnits":{:.2},"idleWorth":0.05,"meanUnits":{:.2},"meterPeriod":1000000,
"saysOthers":true,"shareWorth":0.4,"slotsTotal":9,"unitsTop":6}},
"tier":0,"weightSource":"rough","zone":0,"zones":["hala-a","hala-b","hala-c"]}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.heads,
            classes.join(","),
            plans.join(","),
            writes.join(","),
            self.cold_units,
            self.mean_units,
        )
    }
}

fn class_json(class: &Class) -> String {
    format!(
        r#"{{"name":"{}","deadline":{},"dedupWindow":{},"goalTime":{},"group":"all","lateWorth":0.2,"repeat":"{}",
"streaming":false,"worth":2.0}}"#,
        class.name, class.deadline_us, class.dedup_window_us, class.goal_us, class.repeat
    )
}

fn plan_json(name: &str, pays: f64, reserve: f64, nominal: f64) -> String {
    format!(
        r#"{{"name":"{name}","pays":{pays:.1},"reserve":{reserve:.1},"nominal":{nominal:.1},"weight":1.0,
"mostAtOnce":0.0,"neverOver":0.0,"slack":0.0}}"#
    )
}

/// The head of a client's request.
pub struct RequestHead {
    pub method: &'static str,
    pub class: &'static str,
    pub id: u64,
    pub plan: &'static str,
    pub volume: u64,
    pub units: u32,
    pub shard: i32,
    pub timeout_ms: u64,
    pub body: usize,
}

impl RequestHead {
    pub fn text(&self) -> String {
        let length =
            if self.method == "PUT" { format!("Content-Length: {}\r\n", self.body) } else { String::new() };
        format!(
            "{} /{}/{:016x} HTTP/1.1\r\nHost: sesvete\r\nRequest-Id: {:016x}\r\nX-Qos-Policy: {}\r\n\
             X-Chunk: {:016x}\r\nRequest-Timeout-Ms: {}\r\n\
             X-Placement: volume={:016x},units={},shard={},hosts=1\r\n{length}\r\n",
            self.method,
            self.class,
            self.id,
            self.id,
            self.plan,
            self.id,
            self.timeout_ms,
            self.volume,
            self.units,
            self.shard
        )
    }
}
