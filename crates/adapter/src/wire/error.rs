//! What can be wrong with the input. The texts are frozen: operators of the simulator read them.

use sedgerun_config::Faults;
use std::str::Utf8Error;
use thiserror::Error;

/// What is wrong with the input, in one plain line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The input ends within the four bytes of a frame's length.
    #[error("truncated frame: length")]
    TruncatedLength,
    /// The input ends within a frame.
    #[error("truncated frame: {received} of {expected} bytes")]
    TruncatedFrame {
        /// The bytes that came.
        received: usize,
        /// The bytes that the frame's length announces.
        expected: u32,
    },
    /// A frame ends within a record; the text names the record.
    #[error("truncated record: {0}")]
    TruncatedRecord(&'static str),
    /// Bytes are left behind the last record.
    #[error("malformed frame: {0} bytes after the last record")]
    TrailingBytes(usize),
    /// A record's code is none of the wire's.
    #[error("unknown record code {0}")]
    UnknownRecordCode(u8),
    /// The scope of an endpoint list is none of the wire's.
    #[error("unknown list scope {0}")]
    UnknownListScope(u8),
    /// The readiness of an endpoint is none of the wire's.
    #[error("unknown readiness {0}")]
    UnknownReadiness(u8),
    /// The end of an attempt is none of the wire's.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// Settings are no text.
    #[error("malformed settings: not UTF-8")]
    SettingsNotUtf8(#[source] Utf8Error),
    /// Settings are faulty. One line is what an adapter may say; the first fault is the one to mend first.
    #[error("{}", first_fault(.0))]
    FaultySettings(#[source] Faults),
}

fn first_fault(faults: &Faults) -> &str {
    faults.0.first().map_or("malformed settings", |fault| fault.what.as_str())
}
