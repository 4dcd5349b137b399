//! Errors in the adapter's input. The messages are part of its interface, because operators of the simulator
//! read them; a test compares them with a recording.

use sedgerun_config::Faults;
use std::str::Utf8Error;
use thiserror::Error;

/// An error in the input. The message is a single line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The input ends within the four bytes of a frame's length.
    #[error("truncated frame: length")]
    TruncatedLength,
    /// The input ends within a frame.
    #[error("truncated frame: {received} of {expected} bytes")]
    TruncatedFrame {
        /// The number of bytes received.
        received: usize,
        /// The number of bytes that the frame's length gives.
        expected: u32,
    },
    /// A frame ends within the named part: the batch header, a record code or a type of record.
    #[error("truncated record: {0}")]
    TruncatedRecord(&'static str),
    /// Bytes follow the last record of a frame; the value is their number.
    #[error("malformed frame: {0} bytes after the last record")]
    TrailingBytes(usize),
    /// The code of a record is unknown.
    #[error("unknown record code {0}")]
    UnknownRecordCode(u8),
    /// The scope of an endpoint list is unknown.
    #[error("unknown list scope {0}")]
    UnknownListScope(u8),
    /// The readiness of an endpoint is unknown.
    #[error("unknown readiness {0}")]
    UnknownReadiness(u8),
    /// The outcome of an attempt is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The settings are not UTF-8 text.
    #[error("malformed settings: not UTF-8")]
    SettingsNotUtf8(#[source] Utf8Error),
    /// The settings are invalid. The message contains the first fault alone, because an adapter may print
    /// only one line.
    #[error("{}", first_fault(.0))]
    InvalidSettings(#[source] Faults),
}

fn first_fault(faults: &Faults) -> &str {
    faults.0.first().map_or("malformed settings", |fault| fault.what.as_str())
}
