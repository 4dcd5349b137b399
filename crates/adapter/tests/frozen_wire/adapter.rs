//! Runs the adapter as a child process.

use crate::codes::*;
use std::io::{Read, Write};
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::thread;

pub fn spawn_adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_sedgerun-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter")
}

/// Runs the adapter on an input until it exits.
pub fn run_adapter(input: Vec<u8>) -> Output {
    let mut child = spawn_adapter();
    let mut stdin = child.stdin.take().expect("its input");
    // The write fails if the adapter exits early on faulty input; the tests check its exit status.
    let writer = thread::spawn(move || drop(stdin.write_all(&input)));
    let output = child.wait_with_output().expect("its end");
    writer.join().expect("the writer");
    output
}

/// Splits the records of a response.
pub fn split_actions(mut body: &[u8]) -> Vec<Vec<u8>> {
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

/// Reads the records of one response and checks their count.
pub fn read_response(output: &mut ChildStdout) -> Vec<Vec<u8>> {
    let mut length = [0; 4];
    output.read_exact(&mut length).expect("a length");
    let mut body = vec![0; u32::from_le_bytes(length) as usize];
    output.read_exact(&mut body).expect("a response");
    let read = split_actions(&body[4..]);
    assert_eq!(read.len() as u32, u32::from_le_bytes(body[..4].try_into().expect("a count")));
    read
}
