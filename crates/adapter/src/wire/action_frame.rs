//! Actions to the records of a frame.

use sedgerun_policy::{Action, BackendId};

/// The codes of records that go out, by the wire's names.
const DELIVER: u8 = 16;
const REJECT: u8 = 17;
const END_FAILED: u8 = 18;
const CALL_OFF: u8 = 19;
const SET_ALARM: u8 = 20;
const CHECK: u8 = 21;
const WATCH: u8 = 26;

/// What a watch record says: the endpoint list is wanted.
const WATCH_ENDPOINTS: u8 = 1;
/// Bytes of a backend's id on the wire.
const BACKEND_ID_BYTES: usize = 6;
/// Bytes of a frame's length, and as many of its count of records.
const LENGTH_BYTES: usize = 4;

/// The frame in reply to a batch: the actions of its instances, in order.
#[derive(Debug, Default)]
pub struct ActionFrame {
    /// The number of records.
    count: u32,
    records: Vec<u8>,
}

impl ActionFrame {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match *action {
            Action::Send { id, backend, timeout_at } => self
                .begin(DELIVER, instance)
                .bytes(&id.to_le_bytes())
                .backend_id(backend)
                .bytes(&timeout_at.to_le_bytes()),
            Action::Reject { id, retry_after } => {
                let wait = u32::try_from(retry_after).unwrap_or(u32::MAX);
                self.begin(REJECT, instance).bytes(&id.to_le_bytes()).bytes(&wait.to_le_bytes())
            }
            Action::Fail { id } => self.begin(END_FAILED, instance).bytes(&id.to_le_bytes()),
            Action::Cancel { id, attempt } => {
                self.begin(CALL_OFF, instance).bytes(&id.to_le_bytes()).bytes(&[attempt])
            }
            Action::SetTimer { at, token } => {
                self.begin(SET_ALARM, instance).bytes(&at.to_le_bytes()).bytes(&token.to_le_bytes())
            }
            Action::CheckHealth { backend } => self.begin(CHECK, instance).backend_id(backend),
            Action::Watch => self.begin(WATCH, instance).bytes(&[WATCH_ENDPOINTS]),
        };
    }

    /// The complete frame, its length included.
    pub fn frame(&self) -> Vec<u8> {
        let length = (LENGTH_BYTES + self.records.len()) as u32;
        let mut frame = Vec::with_capacity(2 * LENGTH_BYTES + self.records.len());
        frame.extend(length.to_le_bytes());
        frame.extend(self.count.to_le_bytes());
        frame.extend(&self.records);
        frame
    }

    /// Begins a record.
    fn begin(&mut self, code: u8, instance: u16) -> &mut Self {
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
