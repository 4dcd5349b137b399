//! Compares the adapter with a recorded conversation on the simulator's wire, and its errors with recorded
//! messages.
//!
//! For the input in `recorded/conversation.txt` every byte of the output must match. For each input of
//! `faulty_inputs` the exit status and the line on standard error must match `recorded/faults.txt`. The
//! output depends on the input alone, so no refactoring may change a byte of it.
//!
//! `write_the_fixtures` has recorded the fixtures once, from a small simulation of clients and backends. They
//! must not be recorded again to make a failing comparison pass.

mod adapter;
mod codes;
mod recording;
mod records;
mod settings;
mod simulator;

use adapter::{read_response, run_adapter, spawn_adapter};
use codes::*;
use recording::{Batch, bytes, hex, read_conversation, read_recorded, recorded_path};
use records::{Endpoint, new_instance, targets};
use sedgerun_adapter::wire::ActionFrame;
use sedgerun_policy::{Action, BackendId};
use settings::ALL_SETTINGS;
use simulator::{BATCH_COUNT, BATCH_INTERVAL, Simulator};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::Write;

#[test]
fn the_recorded_conversation_is_reproduced_byte_for_byte() {
    let batches = read_conversation();
    let output = run_adapter(batches.iter().flat_map(Batch::input).collect());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let mut rest = output.stdout.as_slice();
    for (position, batch) in batches.iter().enumerate() {
        let expected = batch.output();
        let actual = &rest[..expected.len().min(rest.len())];
        let place = format!("batch {position}, clock {}", batch.clock);
        assert!(actual == expected, "{place}:\nexpected {}\nactual   {}", hex(&expected), hex(actual));
        rest = &rest[expected.len()..];
    }
    assert!(rest.is_empty(), "{} bytes more than recorded", rest.len());
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// The recording must cover every type of record, or the comparison would check less than it appears to.
#[test]
fn the_recorded_conversation_contains_every_type_of_record() {
    let batches = read_conversation();
    let codes = |records: &dyn Fn(&Batch) -> Vec<Vec<u8>>| -> BTreeSet<u8> {
        batches.iter().flat_map(records).map(|record| record[0]).collect()
    };
    assert_eq!(codes(&|batch| batch.events.clone()), (NEW_INSTANCE..=CRASH_NOW).collect());
    // The decision module emits no `CALL_OFF` and no `CHECK`; the next test compares their encoding.
    let expected = [DELIVER, REJECT, END_FAILED, SET_ALARM, WATCH];
    assert_eq!(codes(&|batch| batch.actions.clone()), expected.into_iter().collect());
    let events: Vec<&Vec<u8>> = batches.iter().flat_map(|batch| &batch.events).collect();
    let values = |code: u8, at: usize| -> BTreeSet<u8> {
        events.iter().filter(|event| event[0] == code).map(|event| event[at]).collect()
    };
    assert_eq!(values(RESPONSE, 14), (ERROR..=MOOT).collect(), "outcomes");
    assert_eq!(values(TARGETS, 3), (CACHED..=DELTA).collect(), "list scopes");
    assert_eq!(values(DEMAND, 7), (0..4).collect(), "classes");
    assert_eq!(values(NEW_INSTANCE, 1), (0..3).collect(), "instances");
    let sends = batches.iter().flat_map(|batch| &batch.actions).filter(|action| action[0] == DELIVER);
    let mut attempts: BTreeMap<&[u8], u32> = BTreeMap::new();
    sends.for_each(|send| *attempts.entry(&send[1..7]).or_default() += 1);
    assert!(attempts.len() > 200, "{} requests are sent", attempts.len());
    assert!(attempts.values().any(|attempts| *attempts > 2), "no request is sent three times");
}

/// The expected bytes are those of the wire protocol's specification.
#[test]
fn every_type_of_action_is_encoded_as_specified() {
    let backend = BackendId(u64::from_le_bytes([0x0a, 0x90, 0x11, 0xf2, 0xb4, 0x13, 0, 0]));
    let actions = [
        (
            Action::Send { id: 0x5d3a_91c4, backend, timeout_at: 0x8194da },
            "100300c4913a5d0a9011f2b413da94810000000000",
        ),
        (Action::Reject { id: 0x0e6f_2b19, retry_after: 250_000 }, "110300192b6f0e90d00300"),
        (Action::Fail { id: 0x0e6f_2b19 }, "120300192b6f0e"),
        (Action::Cancel { id: 0x5d3a_91c4, attempt: 0 }, "130300c4913a5d00"),
        (Action::SetTimer { at: 0x87fd7a, token: 0x4d }, "1403007afd8700000000004d00000000000000"),
        (Action::CheckHealth { backend }, "1503000a9011f2b413"),
        (Action::Watch, "1a030001"),
    ];
    for (action, expected) in actions {
        let mut frame = ActionFrame::default();
        frame.push(3, &action);
        let body = [&1u32.to_le_bytes(), bytes(expected).as_slice()].concat();
        let length = body.len() as u32;
        assert_eq!(hex(&frame.encode()), hex(&[&length.to_le_bytes(), body.as_slice()].concat()));
    }
}

fn batch_frame(records: &[Vec<u8>]) -> Vec<u8> {
    Batch { clock: 5_000_000, events: records.to_vec(), actions: Vec::new() }.input()
}

/// Inputs on which the adapter must exit with an error, each with its name in `recorded/faults.txt`.
fn faulty_inputs() -> Vec<(&'static str, Vec<u8>)> {
    let with_settings_change =
        |from: &str, to: &str| batch_frame(&[new_instance(0, 1, &ALL_SETTINGS.replace(from, to))]);
    let mut not_text = new_instance(0, 1, "a=b");
    *not_text.last_mut().expect("a byte") = 0xff;
    let mut trailing = batch_frame(&[]);
    trailing[0] += 1;
    trailing.push(0);
    let list = |scope: u8, readiness: u8| {
        let entry = Endpoint { backend: 1, shard: 0, started_at: 0, zone: 0, readiness };
        batch_frame(&[targets(0, scope, 1, &[entry])])
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
            let mut frame = batch_frame(&[]);
            frame[12] = 1;
            frame
        }),
        ("new_instance cut short", batch_frame(&[vec![NEW_INSTANCE, 0, 0, 1]])),
        ("targets cut short", batch_frame(&[vec![TARGETS, 0, 0, 1]])),
        ("demand cut short", batch_frame(&[vec![DEMAND, 0, 0, 1]])),
        ("headers cut short", batch_frame(&[vec![HEADERS, 0, 0, 1]])),
        ("response cut short", batch_frame(&[vec![RESPONSE, 0, 0, 1]])),
        ("lapsed cut short", batch_frame(&[vec![LAPSED, 0, 0, 1]])),
        ("reminder cut short", batch_frame(&[vec![REMINDER, 0, 0, 1]])),
        ("pong cut short", batch_frame(&[vec![PONG, 0, 0, 1]])),
        ("peer_data cut short", batch_frame(&[vec![PEER_DATA, 0, 0, 1]])),
        ("crash_now cut short", batch_frame(&[vec![CRASH_NOW, 0]])),
        ("unknown code", batch_frame(&[vec![99, 0, 0]])),
        ("bytes left over", trailing),
        ("unknown list scope", list(4, READY)),
        ("unknown readiness", list(FULL_LIST, 3)),
        ("unknown outcome", batch_frame(&[outcome])),
        ("settings not UTF-8", batch_frame(&[not_text])),
        ("settings without a balancer", with_settings_change("balancers=3\n", "")),
        ("balancers out of range", with_settings_change("balancers=3", "balancers=0")),
        ("no class", with_settings_change("classes.count=4", "classes.count=0")),
        ("repeat unknown", with_settings_change("classes.0.repeat=free", "classes.0.repeat=often")),
        ("group unknown", with_settings_change("classes.2.group=cell", "classes.2.group=rack")),
        ("no figure", with_settings_change("classes.0.goalTime=200000", "classes.0.goalTime=soon")),
        ("below the least", with_settings_change("plans.0.neverOver=60.0", "plans.0.neverOver=-1")),
        ("no flag", with_settings_change("limits.cancel=true", "limits.cancel=yes")),
        ("no part of a figure", with_settings_change("limits.maxAttempts=4", "limits.maxAttempts=1.5")),
        ("mode unknown", with_settings_change("membershipMode=automatic", "membershipMode=pigeon")),
        ("malformed line", with_settings_change("zone=1", "zone")),
    ]
}

/// The exit status and the error message for each faulty input, in the format of `recorded/faults.txt`.
fn describe_faults() -> String {
    faulty_inputs().into_iter().fold(String::new(), |mut text, (name, input)| {
        let output = run_adapter(input);
        let status = output.status.code().expect("an exit status");
        let message = String::from_utf8(output.stderr).expect("text");
        assert!(output.stdout.is_empty(), "{name}: the adapter wrote a response");
        let _ = write!(text, "{name}: exit status {status}\n{message}");
        text
    })
}

#[test]
fn faulty_input_ends_the_adapter_with_the_recorded_message() {
    assert_eq!(describe_faults(), read_recorded("faults.txt"));
}

/// Runs the simulation against the adapter and records the conversation.
fn record_conversation() -> Vec<Batch> {
    let mut child = spawn_adapter();
    let mut input = child.stdin.take().expect("its input");
    let mut output = child.stdout.take().expect("its output");
    let mut simulator = Simulator::new();
    let mut batches = Vec::new();
    for number in 0..BATCH_COUNT {
        simulator.run_script(number);
        simulator.generate_requests(number);
        let mut batch =
            Batch { clock: simulator.clock, events: simulator.take_expired_events(), actions: Vec::new() };
        input.write_all(&batch.input()).expect("a batch");
        batch.actions = read_response(&mut output);
        batch.actions.iter().for_each(|action| simulator.handle_action(action));
        batches.push(batch);
        simulator.clock += BATCH_INTERVAL;
    }
    drop(input);
    assert!(child.wait().expect("its end").success());
    batches
}

#[test]
#[ignore = "records the fixtures from the current program; not to be run to make a failing comparison pass"]
fn write_the_fixtures() {
    let mut text = String::new();
    record_conversation().iter().for_each(|batch| batch.write(&mut text));
    std::fs::write(recorded_path("conversation.txt"), text).expect("a file");
    std::fs::write(recorded_path("faults.txt"), describe_faults()).expect("a file");
}
