//! A recorded conversation with the adapter on the simulator's wire, and its exact words on faulty input.
//!
//! What is frozen: for the input recorded in `recorded/conversation.txt` every byte that the adapter answers, and for
//! the faulty inputs of `faulty_inputs` the exit status and the line on standard error in `recorded/faults.txt`. The
//! decisions follow from the input alone, so that neither a renaming nor a rearrangement inside may change a byte.
//!
//! The fixtures are written once, by `write_the_fixtures`, from a small world that plays clients and nodes. They are
//! never written anew because a comparison fails.

use sedgerun_adapter::wire::ActionFrame;
use sedgerun_policy::{Action, BackendId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::thread;

/// The codes of events, as the wire gives them.
const NEW_INSTANCE: u8 = 16;
const TARGETS: u8 = 17;
const DEMAND: u8 = 18;
const HEADERS: u8 = 19;
const RESPONSE: u8 = 20;
const LAPSED: u8 = 21;
const REMINDER: u8 = 22;
const PONG: u8 = 23;
const PEER_DATA: u8 = 24;
const CRASH_NOW: u8 = 25;

/// The codes of actions, as the wire gives them.
const DELIVER: u8 = 16;
const REJECT: u8 = 17;
const END_FAILED: u8 = 18;
const CALL_OFF: u8 = 19;
const SET_ALARM: u8 = 20;
const CHECK: u8 = 21;
const WATCH: u8 = 26;

/// The codes of outcomes, as the wire gives them.
const ERROR: u8 = 0;
const OK: u8 = 1;
const FULL: u8 = 2;
const TIMEOUT: u8 = 3;
const CONNECT_FAILED: u8 = 4;
const RESET: u8 = 5;
const CANCELLED: u8 = 6;
const MOOT: u8 = 7;

/// The kinds of lists, as the wire gives them.
const CACHED: u8 = 0;
const FULL_LIST: u8 = 1;
const FAILED_LIST: u8 = 2;
const DELTA: u8 = 3;

const GONE: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

/// Instance 0: every setting that is read, and some that are not; the list comes by itself.
const EVERY_SETTING: &str = "\
# a comment
balancers=3
period=1000
zone=1
membershipMode=automatic
classes.count=4
classes.0.name=citanje
classes.0.goalTime=200000
classes.0.deadline=1000000
classes.0.repeat=free
classes.0.group=all
classes.0.dedupWindow=5000000
classes.0.inTurn=false
classes.0.worth=2.0
classes.0.lateWorth=0.2
classes.0.streaming=false
classes.1.name=nova-datoteka
classes.1.goalTime=250000
classes.1.deadline=1200000
classes.1.repeat=single_shot
classes.1.worth=3.0
classes.1.lateWorth=0.2
classes.2.name=izvoz
classes.2.goalTime=600000
classes.2.deadline=2000000
classes.2.repeat=guarded
classes.2.group=cell
classes.2.dedupWindow=1500000
classes.2.worth=1.0
classes.2.lateWorth=0.3
classes.3.name=red
classes.3.goalTime=300000
classes.3.deadline=1000000
classes.3.repeat=guarded
classes.3.group=zone
classes.3.dedupWindow=800000
classes.3.inTurn=true
classes.3.worth=1.5
classes.3.lateWorth=0.1
plans.count=2
plans.0.name=osnovni
plans.0.nominal=40.0
plans.0.reserve=20.0
plans.0.weight=1.0
plans.0.neverOver=60.0
plans.0.mostAtOnce=30.0
plans.0.slack=10.0
plans.0.pays=1.0
plans.1.name=veliki
plans.1.nominal=80.0
plans.1.reserve=0.0
plans.1.weight=3.0
plans.1.neverOver=0.0
plans.1.pays=0.5
rules.answerSlack=150000
rules.drainGrace=100000
rules.startCapacity=0.2
rules.warmWithin=2000000
rules.tipMultiple=2.0
rules.fall=300000
rules.orderPause=120000
rules.budgetWindow=1000000
rules.freeResends=8
rules.extraPerRequest=0.3
rules.askWithin=0
specifics.coldUnits=6
specifics.meanUnits=2.0
specifics.unitsTop=8.0
specifics.meterPeriod=500000
specifics.saysOthers=true
limits.cancel=true
limits.probing=true
limits.maxAttempts=4
limits.retryAfter=true
limits.maxRetryAfter=900000
unheard.of=1
";

/// Instance 1: the list comes only when asked for, and repeats are not budgeted.
const MUST_ASK: &str = "\
balancers=2
membershipMode=subscribe
classes.count=2
classes.0.goalTime=150000
classes.0.deadline=900000
classes.0.repeat=free
classes.1.goalTime=150000
classes.1.deadline=900000
classes.1.repeat=guarded
classes.1.group=all
classes.1.dedupWindow=600000
plans.count=1
plans.0.nominal=50.0
plans.0.reserve=50.0
rules.answerSlack=100000
rules.drainGrace=50000
rules.startCapacity=0.5
rules.warmWithin=1000000
rules.tipMultiple=3.0
rules.fall=200000
rules.askWithin=400000
limits.probing=true
limits.maxAttempts=3
limits.retryAfter=false
limits.maxRetryAfter=500000
";

/// Instance 2: only what must be there.
const LEAST_SETTINGS: &str = "\
balancers=1
classes.count=1
classes.0.goalTime=300000
classes.0.deadline=800000
classes.0.repeat=free
";

fn recorded(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

fn read_recorded(name: &str) -> String {
    std::fs::read_to_string(recorded(name)).expect("a recorded file")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16).expect("a hexadecimal digit") as u8;
    hex.as_bytes().chunks(2).map(|pair| digit(pair[0]) * 16 + digit(pair[1])).collect()
}

/// A batch of the conversation: its clock, the records that go in and those that come out.
#[derive(Debug, Default, PartialEq)]
struct Step {
    clock: u64,
    events: Vec<Vec<u8>>,
    actions: Vec<Vec<u8>>,
}

impl Step {
    fn input(&self) -> Vec<u8> {
        let mut body = self.clock.to_le_bytes().to_vec();
        body.extend((self.events.len() as u32).to_le_bytes());
        body.extend(self.events.concat());
        [(body.len() as u32).to_le_bytes().to_vec(), body].concat()
    }

    fn output(&self) -> Vec<u8> {
        let mut body = (self.actions.len() as u32).to_le_bytes().to_vec();
        body.extend(self.actions.concat());
        [(body.len() as u32).to_le_bytes().to_vec(), body].concat()
    }

    fn write(&self, text: &mut String) {
        let _ = writeln!(text, "batch {}", self.clock);
        for event in &self.events {
            let _ = writeln!(text, "> {}", hex(event));
        }
        for action in &self.actions {
            let _ = writeln!(text, "< {}", hex(action));
        }
    }
}

/// Reads the recorded conversation.
fn conversation() -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    for line in read_recorded("conversation.txt").lines() {
        let (kind, rest) = line.split_once(' ').expect("a kind of line");
        if kind == "batch" {
            steps.push(Step { clock: rest.parse().expect("a clock"), ..Step::default() });
            continue;
        }
        let step = steps.last_mut().expect("a batch");
        match kind {
            ">" => step.events.push(bytes(rest)),
            "<" => step.actions.push(bytes(rest)),
            other => panic!("an unknown kind of line: {other}"),
        }
    }
    steps
}

fn adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_sedgerun-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter")
}

/// Runs the adapter on a whole input.
fn run(input: Vec<u8>) -> Output {
    let mut child = adapter();
    let mut stdin = child.stdin.take().expect("its input");
    // A broken pipe is the adapter's refusal of the input; its exit status tells.
    let writer = thread::spawn(move || drop(stdin.write_all(&input)));
    let output = child.wait_with_output().expect("its end");
    writer.join().expect("the writer");
    output
}

/// Takes one reply apart into its records.
fn actions(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut actions = Vec::new();
    while let Some(code) = body.first() {
        let length = match *code {
            DELIVER => 21,
            REJECT => 11,
            END_FAILED => 7,
            CALL_OFF => 8,
            SET_ALARM => 19,
            CHECK => 9,
            WATCH => 4,
            other => panic!("an unknown action: {other}"),
        };
        actions.push(body[..length].to_vec());
        body = &body[length..];
    }
    actions
}

/// Reads one reply: the records behind its count.
fn read_reply(output: &mut ChildStdout) -> Vec<Vec<u8>> {
    let mut length = [0; 4];
    output.read_exact(&mut length).expect("a length");
    let mut body = vec![0; u32::from_le_bytes(length) as usize];
    output.read_exact(&mut body).expect("a reply");
    let read = actions(&body[4..]);
    assert_eq!(read.len() as u32, u32::from_le_bytes(body[..4].try_into().expect("a count")));
    read
}

#[test]
fn the_recorded_conversation_is_answered_byte_for_byte() {
    let steps = conversation();
    let output = run(steps.iter().flat_map(Step::input).collect());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let mut rest = output.stdout.as_slice();
    for (position, step) in steps.iter().enumerate() {
        let expected = step.output();
        let said = &rest[..expected.len().min(rest.len())];
        let place = format!("batch {position}, clock {}", step.clock);
        assert!(said == expected, "{place}:\nexpected {}\nsaid     {}", hex(&expected), hex(said));
        rest = &rest[expected.len()..];
    }
    assert!(rest.is_empty(), "{} bytes more than recorded", rest.len());
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// Guards against a fixture that says too little.
#[test]
fn the_recorded_conversation_holds_every_kind_of_record() {
    let steps = conversation();
    let codes = |records: &dyn Fn(&Step) -> Vec<Vec<u8>>| -> BTreeSet<u8> {
        steps.iter().flat_map(records).map(|record| record[0]).collect()
    };
    assert_eq!(codes(&|step| step.events.clone()), (NEW_INSTANCE..=CRASH_NOW).collect());
    // The decisions neither call attempts off nor check nodes; how that is written is frozen below.
    let expected = [DELIVER, REJECT, END_FAILED, SET_ALARM, WATCH];
    assert_eq!(codes(&|step| step.actions.clone()), expected.into_iter().collect());
    let events: Vec<&Vec<u8>> = steps.iter().flat_map(|step| &step.events).collect();
    let values = |code: u8, at: usize| -> BTreeSet<u8> {
        events.iter().filter(|event| event[0] == code).map(|event| event[at]).collect()
    };
    assert_eq!(values(RESPONSE, 14), (ERROR..=MOOT).collect(), "kinds of outcomes");
    assert_eq!(values(TARGETS, 3), (CACHED..=DELTA).collect(), "kinds of lists");
    assert_eq!(values(DEMAND, 7), (0..4).collect(), "classes");
    assert_eq!(values(NEW_INSTANCE, 1), (0..3).collect(), "instances");
    let sends = steps.iter().flat_map(|step| &step.actions).filter(|action| action[0] == DELIVER);
    let mut attempts: BTreeMap<&[u8], u32> = BTreeMap::new();
    sends.for_each(|send| *attempts.entry(&send[1..7]).or_default() += 1);
    assert!(attempts.len() > 200, "{} requests are sent", attempts.len());
    assert!(attempts.values().any(|attempts| *attempts > 2), "no request is sent three times");
}

/// Every kind of action in the bytes that the wire's document gives.
#[test]
fn every_kind_of_action_is_written_in_the_bytes_of_the_document() {
    let node = BackendId(u64::from_le_bytes([0x0a, 0x90, 0x11, 0xf2, 0xb4, 0x13, 0, 0]));
    let kinds = [
        (
            Action::Send { id: 0x5d3a_91c4, backend: node, until: 0x8194da },
            "100300c4913a5d0a9011f2b413da94810000000000",
        ),
        (Action::Reject { id: 0x0e6f_2b19, retry_after: 250_000 }, "110300192b6f0e90d00300"),
        (Action::Fail { id: 0x0e6f_2b19 }, "120300192b6f0e"),
        (Action::Cancel { id: 0x5d3a_91c4, attempt: 0 }, "130300c4913a5d00"),
        (Action::SetTimer { at: 0x87fd7a, token: 0x4d }, "1403007afd8700000000004d00000000000000"),
        (Action::CheckHealth { backend: node }, "1503000a9011f2b413"),
        (Action::Watch, "1a030001"),
    ];
    for (action, expected) in kinds {
        let mut frame = ActionFrame::default();
        frame.push(3, &action);
        let body = [&1u32.to_le_bytes(), bytes(expected).as_slice()].concat();
        let length = body.len() as u32;
        assert_eq!(hex(&frame.encode()), hex(&[&length.to_le_bytes(), body.as_slice()].concat()));
    }
}

fn batch_of(records: &[Vec<u8>]) -> Vec<u8> {
    Step { clock: 5_000_000, events: records.to_vec(), actions: Vec::new() }.input()
}

fn start(instance: u16, seed: u64, settings: &str) -> Vec<u8> {
    let mut record = vec![NEW_INSTANCE];
    record.extend(instance.to_le_bytes());
    record.extend(seed.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

/// Inputs that end the adapter, by name.
fn faulty_inputs() -> Vec<(&'static str, Vec<u8>)> {
    let changed = |from: &str, to: &str| batch_of(&[start(0, 1, &EVERY_SETTING.replace(from, to))]);
    let mut not_text = start(0, 1, "a=b");
    *not_text.last_mut().expect("a byte") = 0xff;
    let mut trailing = batch_of(&[]);
    trailing[0] += 1;
    trailing.push(0);
    let list = |scope: u8, readiness: u8| {
        let entry = Endpoint { node: 1, shard: 0, came_up: 0, zone: 0, readiness };
        batch_of(&[targets(0, scope, 1, &[entry])])
    };
    let mut outcome = vec![RESPONSE];
    outcome.extend([0; 13]);
    outcome.push(9);
    outcome.extend([0; 10]);
    vec![
        ("length cut short", vec![9, 0]),
        ("frame cut short", vec![9, 0, 0, 0, 1]),
        ("header cut short", vec![2, 0, 0, 0, 1, 2]),
        ("code cut short", {
            let mut frame = batch_of(&[]);
            frame[12] = 1;
            frame
        }),
        ("new_instance cut short", batch_of(&[vec![NEW_INSTANCE, 0, 0, 1]])),
        ("targets cut short", batch_of(&[vec![TARGETS, 0, 0, 1]])),
        ("demand cut short", batch_of(&[vec![DEMAND, 0, 0, 1]])),
        ("headers cut short", batch_of(&[vec![HEADERS, 0, 0, 1]])),
        ("response cut short", batch_of(&[vec![RESPONSE, 0, 0, 1]])),
        ("lapsed cut short", batch_of(&[vec![LAPSED, 0, 0, 1]])),
        ("reminder cut short", batch_of(&[vec![REMINDER, 0, 0, 1]])),
        ("pong cut short", batch_of(&[vec![PONG, 0, 0, 1]])),
        ("peer_data cut short", batch_of(&[vec![PEER_DATA, 0, 0, 1]])),
        ("crash_now cut short", batch_of(&[vec![CRASH_NOW, 0]])),
        ("unknown code", batch_of(&[vec![99, 0, 0]])),
        ("bytes left over", trailing),
        ("unknown list scope", list(4, READY)),
        ("unknown readiness", list(FULL_LIST, 3)),
        ("unknown outcome", batch_of(&[outcome])),
        ("settings not UTF-8", batch_of(&[not_text])),
        ("settings without a balancer", changed("balancers=3\n", "")),
        ("balancers out of range", changed("balancers=3", "balancers=0")),
        ("no class", changed("classes.count=4", "classes.count=0")),
        ("repeat unknown", changed("classes.0.repeat=free", "classes.0.repeat=often")),
        ("group unknown", changed("classes.2.group=cell", "classes.2.group=rack")),
        ("no figure", changed("classes.0.goalTime=200000", "classes.0.goalTime=soon")),
        ("below the least", changed("plans.0.neverOver=60.0", "plans.0.neverOver=-1")),
        ("no flag", changed("limits.cancel=true", "limits.cancel=yes")),
        ("no part of a figure", changed("limits.maxAttempts=4", "limits.maxAttempts=1.5")),
        ("mode unknown", changed("membershipMode=automatic", "membershipMode=pigeon")),
        ("malformed line", changed("zone=1", "zone")),
    ]
}

fn faults() -> String {
    faulty_inputs().into_iter().fold(String::new(), |mut text, (name, input)| {
        let output = run(input);
        let status = output.status.code().expect("an exit status");
        let said = String::from_utf8(output.stderr).expect("text");
        assert!(output.stdout.is_empty(), "{name} is answered");
        let _ = write!(text, "{name}: exit status {status}\n{said}");
        text
    })
}

#[test]
fn faulty_input_is_refused_in_the_recorded_words() {
    assert_eq!(faults(), read_recorded("faults.txt"));
}

/// An entry of a list.
#[derive(Clone, Copy)]
struct Endpoint {
    node: u64,
    shard: u16,
    came_up: u64,
    zone: u16,
    readiness: u8,
}

fn targets(instance: u16, scope: u8, version: u64, entries: &[Endpoint]) -> Vec<u8> {
    let mut record = vec![TARGETS];
    record.extend(instance.to_le_bytes());
    record.push(scope);
    record.extend(version.to_le_bytes());
    record.extend((entries.len() as u32).to_le_bytes());
    for entry in entries {
        record.extend(&entry.node.to_le_bytes()[..6]);
        record.extend(0u16.to_le_bytes());
        record.extend(entry.shard.to_le_bytes());
        record.extend(entry.came_up.to_le_bytes());
        record.extend(entry.zone.to_le_bytes());
        record.extend(1.0f32.to_le_bytes());
        record.push(entry.readiness);
    }
    record
}

/// A sequence of numbers that looks like chance and is always the same.
struct Chance(u64);

impl Chance {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// A request as its client sees it.
#[derive(Default)]
struct Open {
    deadline: u64,
    attempts: u8,
    over: bool,
}

/// The world round the adapter: clients, nodes and discovery, on one clock.
struct World {
    clock: u64,
    chance: Chance,
    /// Events by the time at which they are due, in order of their making.
    due: BTreeMap<(u64, u64), Vec<u8>>,
    made: u64,
    /// Requests by instance and id.
    open: BTreeMap<(u16, u32), Open>,
    next_id: u32,
    version: u64,
}

/// The first clock of the conversation, and the time from one batch to the next.
const BEGIN: u64 = 5_000_000;
const BEAT: u64 = 20_000;
const BATCHES: u64 = 460;

/// A node's number on the wire: four bytes of address, a port.
fn node(number: u64) -> u64 {
    u64::from_le_bytes([10, 18, 74, number as u8, 0x8b, 0x13, 0, 0])
}

fn listed(number: u64, came_up: u64, readiness: u8) -> Endpoint {
    Endpoint {
        node: node(number),
        shard: (number % 2) as u16,
        came_up,
        zone: 1 + (number % 2) as u16,
        readiness,
    }
}

impl World {
    fn new() -> World {
        World {
            clock: BEGIN,
            chance: Chance(0x5eed_1e55_0bad_cafe),
            due: BTreeMap::new(),
            made: 0,
            open: BTreeMap::new(),
            next_id: 1,
            version: 40,
        }
    }

    fn later(&mut self, at: u64, event: Vec<u8>) {
        self.made += 1;
        self.due.insert((at, self.made), event);
    }

    fn list(&mut self, instance: u16, scope: u8, entries: &[Endpoint]) {
        self.version += 1;
        let event = targets(instance, scope, self.version, entries);
        self.later(self.clock, event);
    }

    /// What happens at a batch beside the requests and their ends.
    fn script(&mut self, batch: u64) {
        let all = |clock: u64| -> Vec<Endpoint> {
            (1..=6).map(|number| listed(number, if number == 6 { clock } else { 0 }, READY)).collect()
        };
        match batch {
            1 => {
                self.later(self.clock, start(0, 77, EVERY_SETTING));
                self.list(0, CACHED, &all(0)[..4]);
                self.later(self.clock, start(1, 78, MUST_ASK));
                self.list(1, CACHED, &all(0)[..4]);
                self.later(self.clock, start(2, 79, LEAST_SETTINGS));
                self.list(2, CACHED, &all(0)[..2]);
            }
            3 => (0..3).for_each(|instance| self.list(instance, FULL_LIST, &all(0)[..4])),
            40 => self.list(0, DELTA, &[listed(5, self.clock, READY)]),
            60 => self.list(0, DELTA, &[listed(2, 0, DRAINING)]),
            75 => self.list(0, DELTA, &[listed(2, 0, GONE)]),
            80 => self.list(1, FAILED_LIST, &[]),
            90 => self.list(0, DELTA, &[listed(2, self.clock, READY), listed(6, self.clock, READY)]),
            100 => (0..2).for_each(|instance| self.list(instance, FULL_LIST, &all(self.clock))),
            120 => {
                let message = [vec![PEER_DATA, 0, 0], vec![2, 0, 0, 0, 4, 0], b"hi 7".to_vec()].concat();
                self.later(self.clock, message);
            }
            125 => [(0, 1), (1, 0)].into_iter().for_each(|(number, ok)| {
                let node = &node(3 + number).to_le_bytes()[..6];
                let event = [&[PONG, 0, 0, 0x78, 5, 0, 0], node, &[ok, 1, 0, 0, 0, 0x3f]].concat();
                self.later(self.clock, event);
            }),
            130 => self.restart(2),
            160 => self.list(1, FAILED_LIST, &[]),
            200 => self.list(2, FULL_LIST, &all(0)[..1]),
            _ => {}
        }
    }

    /// An instance dies and comes up again in the same batch; nothing of its earlier life reaches it.
    fn restart(&mut self, instance: u16) {
        let of = |event: &Vec<u8>| u16::from_le_bytes([event[1], event[2]]);
        self.due.retain(|_, event| of(event) != instance);
        self.open.retain(|(of, _), _| *of != instance);
        let crash = [vec![CRASH_NOW], instance.to_le_bytes().to_vec()].concat();
        self.later(self.clock, crash);
        self.later(self.clock, start(instance, 80, LEAST_SETTINGS));
        self.list(instance, CACHED, &[listed(1, 0, READY), listed(2, 0, READY), listed(3, 0, READY)]);
    }

    /// Takes requests: at some times more than the nodes can do.
    fn demand(&mut self, batch: u64) {
        if batch < 3 {
            return;
        }
        let rush = (50..60).contains(&batch) || (140..150).contains(&batch);
        let requests = if rush { 4 } else { self.chance.below(3) };
        for _ in 0..requests {
            let instance: u16 = [0, 0, 0, 1, 2][self.chance.below(5) as usize];
            let classes = [4, 2, 1][usize::from(instance)];
            let class = self.chance.below(classes) as u16;
            let plans = [2, 1, 1][usize::from(instance)];
            let plan = self.chance.below(plans) as u16;
            let deadline = self.clock + 300_000 + self.chance.below(500_000);
            let id = self.next_id;
            self.next_id += 1;
            let placement = if class == 1 { -1.0 } else { self.chance.below(2) as f32 };
            let mut event = vec![DEMAND];
            event.extend(instance.to_le_bytes());
            event.extend(id.to_le_bytes());
            event.extend(class.to_le_bytes());
            event.extend(plan.to_le_bytes());
            event.extend(self.chance.below(4).to_le_bytes());
            event.extend(deadline.to_le_bytes());
            event.extend((100 + self.chance.below(3)).to_le_bytes());
            event.extend((1.0 + self.chance.below(4) as f32).to_le_bytes());
            event.extend(placement.to_le_bytes());
            event.extend(2.0f32.to_le_bytes());
            event.push(0);
            self.later(self.clock, event);
            self.open.insert((instance, id), Open { deadline, ..Open::default() });
            if self.chance.below(25) == 0 {
                let gone = [vec![LAPSED], instance.to_le_bytes().to_vec(), id.to_le_bytes().to_vec()];
                self.later(self.clock + 60_000, gone.concat());
            }
        }
    }

    /// The outcome of an attempt that ends now.
    fn outcome(&mut self, attempt: (u16, u32, u8), node: &[u8], ending: u8, took: u64) -> Vec<u8> {
        let (instance, id, number) = attempt;
        let answered = matches!(ending, OK | ERROR | FULL);
        let mut event = vec![RESPONSE];
        event.extend(instance.to_le_bytes());
        event.extend(id.to_le_bytes());
        event.push(number);
        event.extend(node);
        event.push(ending);
        event.extend((took as u32).to_le_bytes());
        event.push(u8::from(ending == OK));
        let used = if answered { self.chance.below(200) as u16 } else { 0 };
        event.extend(used.to_le_bytes());
        let elsewhere = if answered { self.chance.below(5) as u16 } else { 0 };
        event.extend(elsewhere.to_le_bytes());
        let gauge: &[f32] = if ending == OK { &[0.5, 3.0] } else { &[] };
        event.push(gauge.len() as u8);
        gauge.iter().for_each(|value| event.extend(value.to_le_bytes()));
        event
    }

    /// How an attempt at a node ends, and after how long.
    fn ending(&mut self, node: u8, until: u64, deadline: u64) -> (u8, u64) {
        let batch = (self.clock - BEGIN) / BEAT;
        let limit = if until == 0 { deadline } else { until.min(deadline) }.max(self.clock + 1) - self.clock;
        let silent = node == 3 && (150..190).contains(&batch);
        let refuses = node != 4 && (50..70).contains(&batch);
        let served = 15_000 + self.chance.below(120_000);
        let (ending, took) = match self.chance.below(100) {
            _ if silent => (TIMEOUT, limit),
            chance if refuses && chance < 60 => (FULL, 2_000),
            0..5 => (ERROR, 30_000),
            5..10 => (FULL, 2_000),
            10..14 => (CONNECT_FAILED, 50_000),
            14..18 => (RESET, 40_000),
            18..20 => (MOOT, 1_000),
            20..22 => (CANCELLED, 25_000),
            22..27 => (TIMEOUT, limit),
            _ => (OK, served),
        };
        if took >= limit { (TIMEOUT, limit) } else { (ending, took) }
    }

    fn sent(&mut self, action: &[u8], instance: u16, id: u32) {
        let node = action[7..13].to_vec();
        let until = u64::from_le_bytes(action[13..21].try_into().expect("a time"));
        let request = self.open.get_mut(&(instance, id)).expect("a request that was taken");
        let number = request.attempts;
        request.attempts += 1;
        let deadline = request.deadline;
        let (ending, took) = self.ending(node[3], until, deadline);
        let event = self.outcome((instance, id, number), &node, ending, took);
        self.later(self.clock + took, event);
        if ending == OK && took > 100_000 {
            let mut begun = vec![HEADERS];
            begun.extend(instance.to_le_bytes());
            begun.extend(id.to_le_bytes());
            begun.push(number);
            begun.extend(&node);
            begun.extend((took as u32 / 2).to_le_bytes());
            self.later(self.clock + took / 2, begun);
        }
    }

    /// Takes in what the adapter did.
    fn act(&mut self, action: &[u8]) {
        let instance = u16::from_le_bytes([action[1], action[2]]);
        let id = || u32::from_le_bytes(action[3..7].try_into().expect("an id"));
        match action[0] {
            DELIVER => self.sent(action, instance, id()),
            REJECT | END_FAILED => {
                if let Some(request) = self.open.get_mut(&(instance, id())) {
                    request.over = true;
                }
            }
            SET_ALARM => {
                let at = u64::from_le_bytes(action[3..11].try_into().expect("a time"));
                let event = [&[REMINDER], &action[1..3], &action[11..19]].concat();
                self.later(at.max(self.clock + 1), event);
            }
            WATCH => {
                self.version += 1;
                let event = targets(instance, DELTA, self.version, &[]);
                self.later(self.clock + 30_000, event);
            }
            other => panic!("an action that the decisions did not take before: {other}"),
        }
    }

    /// The events that are due now. An outcome of a request that has ended says that nothing more is owed.
    fn take_due(&mut self) -> Vec<Vec<u8>> {
        let after = self.due.split_off(&(self.clock + 1, 0));
        let due = std::mem::replace(&mut self.due, after);
        let mut events = Vec::new();
        for mut event in due.into_values() {
            let instance = u16::from_le_bytes([event[1], event[2]]);
            if matches!(event[0], RESPONSE | LAPSED) {
                let id = u32::from_le_bytes(event[3..7].try_into().expect("an id"));
                let request = self.open.get_mut(&(instance, id)).expect("a request that was taken");
                if event[0] == RESPONSE && request.over {
                    event[19] = 1;
                }
                request.over |= event[0] == LAPSED || event[19] == 1;
            }
            events.push(event);
        }
        events
    }
}

/// Plays the world against the adapter.
fn play() -> Vec<Step> {
    let mut child = adapter();
    let mut input = child.stdin.take().expect("its input");
    let mut output = child.stdout.take().expect("its output");
    let mut world = World::new();
    let mut steps = Vec::new();
    for batch in 0..BATCHES {
        world.script(batch);
        world.demand(batch);
        let mut step = Step { clock: world.clock, events: world.take_due(), actions: Vec::new() };
        input.write_all(&step.input()).expect("a batch");
        step.actions = read_reply(&mut output);
        step.actions.iter().for_each(|action| world.act(action));
        steps.push(step);
        world.clock += BEAT;
    }
    drop(input);
    assert!(child.wait().expect("its end").success());
    steps
}

#[test]
#[ignore = "writes the fixtures from the present program: once, and never to mend a comparison"]
fn write_the_fixtures() {
    let mut text = String::new();
    play().iter().for_each(|step| step.write(&mut text));
    std::fs::write(recorded("conversation.txt"), text).expect("a file");
    std::fs::write(recorded("faults.txt"), faults()).expect("a file");
}
