//! Derives the outcome of an attempt from a backend's response, or from what has become of its connection.

use super::connection::{OpenError, ResponseSummary, SendError};
use sedgerun_policy::AttemptEnd;
use std::io::ErrorKind;

/// The largest value that a backend can report: the simulator's protocol encodes it in 16 bits.
const MAX_REPORTED_VALUE: f64 = 65_535.0;

/// The load that a backend reports in the headers of a response.
pub(super) struct LoadReport {
    /// The volume's load at all heads, as a multiple of its plan's rate; `None` if not reported.
    pub(super) volume_usage: Option<f64>,
    /// Units that the backend has served for the volume through other heads.
    pub(super) units_elsewhere: f64,
}

impl LoadReport {
    pub(super) fn of(summary: &ResponseSummary) -> LoadReport {
        LoadReport {
            volume_usage: reported_value(summary.volume_usage.as_deref()).map(|percent| percent / 100.0),
            units_elsewhere: reported_value(summary.units_elsewhere.as_deref()).unwrap_or(0.0),
        }
    }
}

/// A number in a response header. A malformed or out-of-range value is ignored; the rest of the response is still
/// used.
fn reported_value(text: Option<&str>) -> Option<f64> {
    let value: f64 = text?.parse().ok()?;
    (0.0..=MAX_REPORTED_VALUE).contains(&value).then_some(value)
}

/// How an attempt ended, by the head of its response.
pub(super) fn attempt_end_of_response(summary: &ResponseSummary) -> AttemptEnd {
    match summary.status {
        200 => AttemptEnd::Ok,
        503 | 504 if summary.not_started => AttemptEnd::Rejected,
        _ => AttemptEnd::Error,
    }
}

/// How an attempt ended whose connection was not opened.
pub(super) fn attempt_end_of_open_error(error: &OpenError) -> AttemptEnd {
    match error {
        // This head, or its machine, is short of resources; that is not the backend's fault.
        OpenError::NoDescriptor | OpenError::NoResources(_) => AttemptEnd::CancelledUnsent,
        OpenError::TimedOut => AttemptEnd::ConnectTimeout,
        OpenError::Failed(_) => AttemptEnd::ConnectFailed,
    }
}

/// How an attempt ended whose request was not written to its last byte: it never ran.
pub(super) fn attempt_end_of_send_error(error: &SendError) -> AttemptEnd {
    match error {
        SendError::CalledOff(_) => AttemptEnd::CancelledUnsent,
        SendError::Connection(error) if error.kind() == ErrorKind::TimedOut => AttemptEnd::ConnectTimeout,
        SendError::Connection(_) => AttemptEnd::ConnectFailed,
    }
}
