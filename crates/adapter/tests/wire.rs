//! Tests the codec with hand-written frames, and the adapter program as a child process.

use sedgerun_adapter::wire::{ActionFrame, Record, read_batch};
use sedgerun_config::read_settings;
use sedgerun_policy::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "balancers=1\nclasses.count=1\nclasses.0.goalTime=300000\n\
    classes.0.deadline=2000000\nclasses.0.repeat=free\nunheard.of=1\nplans.count=1\nplans.0.neverOver=18.0\n";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let digit = |b: u8| (b as char).to_digit(16).unwrap() as u8;
    digits.chunks(2).map(|pair| digit(pair[0]) * 16 + digit(pair[1])).collect()
}

fn frame(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body].concat()
}

fn batch(records: &[Vec<u8>]) -> Vec<u8> {
    let mut body = 5_000_000u64.to_le_bytes().to_vec();
    body.extend((records.len() as u32).to_le_bytes());
    body.extend(records.concat());
    body
}

fn start(settings: &str) -> Vec<u8> {
    let mut record = vec![16, 3, 0];
    record.extend(77u64.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sedgerun-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the adapter exits early on faulty input; the tests check its exit status.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn each_field_of_an_event_is_decoded() {
    let request_record = bytes(
        "12 0300 c4913a5d 0000 0000 640ad2557c3bf091 da05840000000000 107cf3d901648e2b 00000040 00000000 \
         00004040 01",
    );
    let outcome_record = bytes("14 0300 c4913a5d 00 0a124a07 8b13 01 44480000 01 5600 0300 00");
    let list_record = bytes(
        "11 0300 00 2900000000000000 01000000 0a9011f2 b413 0000 0500 20145d0000000000 0100 0000c03f 02",
    );
    let batch = read_batch(&batch(&[request_record, outcome_record, list_record])).unwrap();
    assert_eq!(batch.now, 5_000_000);
    let backend = BackendId(u64::from_le_bytes([0x0a, 0x12, 0x4a, 0x07, 0x8b, 0x13, 0, 0]));
    let request = Request {
        id: 0x5d3a_91c4,
        class: 0,
        plan: 0,
        key: 0x91f0_3b7c_55d2_0a64,
        deadline: 0x8405da,
        volume: 0x2b8e_6401_d9f3_7c10,
        units: 2.0,
        shard: Some(0),
        volume_heads: 3.0,
    };
    assert_eq!(batch.records[0], (3, Record::Event(Event::Request(request))));
    let outcome = AttemptOutcome {
        id: 0x5d3a_91c4,
        attempt: 0,
        backend,
        end: AttemptEnd::Ok,
        latency: 0x4844,
        request_ended: true,
        volume_usage: Some(0.85),
        units_via_other_heads: 3.0,
    };
    assert_eq!(batch.records[1], (3, Record::Event(Event::AttemptEnded(outcome))));
    let (_, Record::Event(Event::EndpointList { scope, endpoints })) = &batch.records[2] else {
        panic!("not an endpoint list")
    };
    assert_eq!((*scope, endpoints[0].shard, endpoints[0].zone), (UpdateScope::Cached, 5, 1));
    assert_eq!((endpoints[0].started_at, endpoints[0].readiness), (0x5d1420, Readiness::Draining));
}

#[test]
fn actions_are_encoded_as_the_wire_protocol_specifies() {
    let backend = BackendId(u64::from_le_bytes([0x0a, 0x12, 0x4a, 0x07, 0x8b, 0x13, 0, 0]));
    let mut frame = ActionFrame::default();
    frame.push(3, &Action::Send { id: 0x5d3a_91c4, backend, timeout_at: 0x8194da });
    frame.push(3, &Action::SetTimer { at: 0x87fd7a, token: 0x4d });
    frame.push(3, &Action::Reject { id: 1, retry_after: 0x1_0000_0000 });
    frame.push(3, &Action::Watch);
    let expected = bytes(
        "3f000000 04000000 10 0300 c4913a5d 0a124a07 8b13 da94810000000000 \
         14 0300 7afd870000000000 4d00000000000000 11 0300 01000000 ffffffff 1a 0300 01",
    );
    assert_eq!(frame.encode()[4..], expected[4..]);
    assert_eq!(
        frame.encode().len() - 4,
        u32::from_le_bytes(frame.encode()[..4].try_into().unwrap()) as usize
    );
}

#[test]
fn settings_are_parsed_and_errors_name_the_invalid_key() {
    let settings = read_settings(SETTINGS).unwrap();
    assert_eq!((settings.classes[0].latency_objective, settings.plans[0].limit), (300_000, 18.0));
    assert_eq!(settings.rules, Rules::default());
    for (from, to, message) in [
        ("balancers=1\n", "", "balancers is missing"),
        ("balancers=1\n", "balancers=0\n", "balancers is out of range"),
        ("repeat=free", "repeat=often", "classes.0.repeat is unknown"),
        ("goalTime=300000", "goalTime=soon", "classes.0.goalTime is not a figure"),
        ("neverOver=18.0", "neverOver=-1", "plans.0.neverOver is out of range"),
        ("neverOver=18.0", "neverOver", "malformed settings line"),
    ] {
        let error = read_settings(&SETTINGS.replace(from, to)).unwrap_err();
        assert!(error.to_string().contains(message), "{error}");
    }
}

#[test]
fn the_adapter_responds_and_exits_at_the_end_of_its_input() {
    let list = bytes(
        "11 0300 00 0100000000000000 01000000 0a124a07 8b13 0000 0000 0000000000000000 0000 0000803f 01",
    );
    let request_record = bytes(
        "12 0300 09000000 0000 0000 0000000000000000 80969800 00000000 0700000000000000 0000803f 00000000 \
         0000803f 00",
    );
    let input = [
        frame(&batch(&[start(&SETTINGS.replace("neverOver", "reserve")), list])),
        frame(&batch(&[request_record])),
    ]
    .concat();
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    // The last field, the attempt's deadline, is chosen by the decision module and not compared.
    let send_record = bytes("10 0300 09000000 0a124a07 8b13");
    assert!(output.stdout.windows(send_record.len()).any(|window| window == send_record));
    assert!(run_adapter(&[]).status.success());
}

#[test]
fn the_adapter_exits_on_faulty_input_with_a_one_line_message() {
    let truncated = batch(&[vec![18, 3, 0, 1]]);
    let mut trailing = batch(&[]);
    trailing.push(0);
    for (input, message) in [
        (vec![9, 0], "truncated frame"),
        (vec![9, 0, 0, 0, 1], "truncated frame"),
        (frame(&[1, 2]), "truncated record: batch header"),
        (frame(&truncated), "truncated record: demand"),
        (frame(&batch(&[vec![99, 0, 0]])), "unknown record code 99"),
        (frame(&trailing), "malformed frame"),
        (frame(&batch(&[start("balancers=1\n")])), "classes.count is missing"),
    ] {
        let output = run_adapter(&input);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && output.stdout.is_empty(), "{message}");
        assert!(stderr.contains(message) && stderr.trim_end().lines().count() == 1, "{stderr}");
    }
}
