//! Reads and writes the recorded files.

use std::fmt::Write as _;
use std::path::PathBuf;

pub fn recorded_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

pub fn read_recorded(name: &str) -> String {
    std::fs::read_to_string(recorded_path(name)).expect("a recorded file")
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

pub fn bytes(hex: &str) -> Vec<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16).expect("a hexadecimal digit") as u8;
    hex.as_bytes().chunks(2).map(|pair| digit(pair[0]) * 16 + digit(pair[1])).collect()
}

/// A batch of the conversation: the clock, the event records sent and the action records received.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    pub clock: u64,
    pub events: Vec<Vec<u8>>,
    pub actions: Vec<Vec<u8>>,
}

impl Batch {
    /// The frame that is sent to the adapter.
    pub fn input(&self) -> Vec<u8> {
        let mut body = self.clock.to_le_bytes().to_vec();
        body.extend((self.events.len() as u32).to_le_bytes());
        body.extend(self.events.concat());
        [(body.len() as u32).to_le_bytes().to_vec(), body].concat()
    }

    /// The frame that the adapter must send in response.
    pub fn output(&self) -> Vec<u8> {
        let mut body = (self.actions.len() as u32).to_le_bytes().to_vec();
        body.extend(self.actions.concat());
        [(body.len() as u32).to_le_bytes().to_vec(), body].concat()
    }

    /// Appends the batch in the format of `conversation.txt`.
    pub fn write(&self, text: &mut String) {
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
pub fn read_conversation() -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for line in read_recorded("conversation.txt").lines() {
        let (kind, rest) = line.split_once(' ').expect("a kind of line");
        if kind == "batch" {
            batches.push(Batch { clock: rest.parse().expect("a clock"), ..Batch::default() });
            continue;
        }
        let batch = batches.last_mut().expect("a batch");
        match kind {
            ">" => batch.events.push(bytes(rest)),
            "<" => batch.actions.push(bytes(rest)),
            other => panic!("an unknown kind of line: {other}"),
        }
    }
    batches
}
