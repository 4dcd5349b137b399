//! Numeric codes of the simulator's wire protocol.

/// The codes of event records, under their names in the wire protocol.
pub const NEW_INSTANCE: u8 = 16;
pub const TARGETS: u8 = 17;
pub const DEMAND: u8 = 18;
pub const HEADERS: u8 = 19;
pub const RESPONSE: u8 = 20;
pub const LAPSED: u8 = 21;
pub const REMINDER: u8 = 22;
pub const PONG: u8 = 23;
pub const PEER_DATA: u8 = 24;
pub const CRASH_NOW: u8 = 25;

/// The codes of action records, under their names in the wire protocol.
pub const DELIVER: u8 = 16;
pub const REJECT: u8 = 17;
pub const END_FAILED: u8 = 18;
pub const CALL_OFF: u8 = 19;
pub const SET_ALARM: u8 = 20;
pub const CHECK: u8 = 21;
pub const WATCH: u8 = 26;

/// The codes of attempt outcomes, under their names in the wire protocol.
pub const ERROR: u8 = 0;
pub const OK: u8 = 1;
pub const FULL: u8 = 2;
pub const TIMEOUT: u8 = 3;
pub const CONNECT_FAILED: u8 = 4;
pub const RESET: u8 = 5;
pub const CANCELLED: u8 = 6;
pub const MOOT: u8 = 7;

/// The scopes of endpoint lists.
pub const CACHED: u8 = 0;
pub const FULL_LIST: u8 = 1;
pub const FAILED_LIST: u8 = 2;
pub const DELTA: u8 = 3;

/// The readiness of endpoints.
pub const REMOVED: u8 = 0;
pub const READY: u8 = 1;
pub const DRAINING: u8 = 2;
