//! Encodes actions as the records of an outgoing frame.

use super::field_reader::BACKEND_ID_BYTES;
use sedgerun_policy::{Action, BackendId};

/// The codes of outgoing records, under their names in the wire protocol.
const DELIVER: u8 = 16;
const REJECT: u8 = 17;
const END_FAILED: u8 = 18;
const CALL_OFF: u8 = 19;
const SET_ALARM: u8 = 20;
const CHECK: u8 = 21;
const WATCH: u8 = 26;

/// The subject of a watch record: the endpoint list.
const WATCH_ENDPOINTS: u8 = 1;
/// The size of a frame's length field, and of the record count that follows it.
const LENGTH_BYTES: usize = 4;

/// The response to a batch: the actions of all instances, in order.
#[derive(Debug, Default)]
pub struct ActionFrame {
    /// The number of records.
    count: u32,
    records: Vec<u8>,
}

impl ActionFrame {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match *action {
            Action::Send { id, backend, timeout_at } => self
                .begin_record(DELIVER, instance)
                .bytes(&id.to_le_bytes())
                .backend_id(backend)
                .bytes(&timeout_at.to_le_bytes()),
            Action::Reject { id, retry_after } => {
                let retry_after = u32::try_from(retry_after).unwrap_or(u32::MAX);
                self.begin_record(REJECT, instance).bytes(&id.to_le_bytes()).bytes(&retry_after.to_le_bytes())
            }
            Action::Fail { id } => self.begin_record(END_FAILED, instance).bytes(&id.to_le_bytes()),
            Action::Cancel { id, attempt } => {
                self.begin_record(CALL_OFF, instance).bytes(&id.to_le_bytes()).bytes(&[attempt])
            }
            Action::SetTimer { at, token } => {
                self.begin_record(SET_ALARM, instance).bytes(&at.to_le_bytes()).bytes(&token.to_le_bytes())
            }
            Action::CheckHealth { backend } => self.begin_record(CHECK, instance).backend_id(backend),
            Action::Watch => self.begin_record(WATCH, instance).bytes(&[WATCH_ENDPOINTS]),
        };
    }

    /// The encoded frame, including its length.
    pub fn encode(&self) -> Vec<u8> {
        let length = (LENGTH_BYTES + self.records.len()) as u32;
        let mut frame = Vec::with_capacity(2 * LENGTH_BYTES + self.records.len());
        frame.extend(length.to_le_bytes());
        frame.extend(self.count.to_le_bytes());
        frame.extend(&self.records);
        frame
    }

    /// Appends the code and the instance of a new record.
    fn begin_record(&mut self, code: u8, instance: u16) -> &mut Self {
        self.count += 1;
        self.bytes(&[code]).bytes(&instance.to_le_bytes())
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend(bytes);
        self
    }

    fn backend_id(&mut self, backend: BackendId) -> &mut Self {
        self.bytes(&backend.0.to_le_bytes()[..BACKEND_ID_BYTES])
    }
}
