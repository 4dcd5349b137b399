//! Derives the outcome of an attempt from a backend's HTTP response or from awc's error.

use super::client::{EMFILE, ENFILE};
use actix_http::StatusCode;
use actix_http::error::PayloadError;
use awc::ClientResponse;
use awc::error::{ConnectError, SendRequestError};
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use sedgerun_policy::AttemptEnd;
use std::time::Duration;

/// Delay between the end of a response and the reuse of its connection.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// The largest value that a backend can report: the simulator's protocol encodes it in 16 bits.
const MAX_REPORTED_VALUE: f64 = 65_535.0;

/// The length of a response body in bytes. `CompleteResponseStream` has set the header and received the
/// entire body.
pub fn content_length(headers: &HeaderMap) -> usize {
    let length = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

/// The load that a backend reports in the headers of a response.
pub(super) struct LoadReport {
    /// The volume's load at all heads, as a multiple of its plan's rate; `None` if not reported.
    pub(super) volume_usage: Option<f64>,
    /// Units that the backend has served for the volume through other heads.
    pub(super) units_elsewhere: f64,
}

impl LoadReport {
    pub(super) fn read(headers: &HeaderMap) -> LoadReport {
        LoadReport {
            volume_usage: reported_value(headers, "X-Iops-Used").map(|percent| percent / 100.0),
            units_elsewhere: reported_value(headers, "X-Rho").unwrap_or(0.0),
        }
    }
}

/// A number in a response header. A malformed or out-of-range value is ignored; the rest of the response is
/// still used.
fn reported_value(headers: &HeaderMap, name: &str) -> Option<f64> {
    let value: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    (0.0..=MAX_REPORTED_VALUE).contains(&value).then_some(value)
}

/// Reads a body to its full length; `None` if the connection ends before.
pub(super) async fn read_body<S>(response: &mut ClientResponse<S>) -> Option<Bytes>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
    ClientResponse<S>: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let length = content_length(response.headers());
    let mut body = BytesMut::with_capacity(length);
    while body.len() < length {
        body.extend_from_slice(&response.next().await?.ok()?);
    }
    Some(body.freeze())
}

/// Returns a response's connection to awc's pool after [`REUSE_DELAY`].
///
/// Some backends close the connection right after a response. A write that is sent on it before this head
/// detects the close fails, and may or may not have run. awc reuses a connection once the body has been read to its
/// end, so the end of the body is read only after the delay.
pub(super) fn release_after_delay<S>(mut response: ClientResponse<S>)
where
    ClientResponse<S>: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    actix_rt::spawn(async move {
        tokio::time::sleep(REUSE_DELAY).await;
        while let Some(Ok(_)) = response.next().await {}
    });
}

/// How an attempt ended, by the status and headers of its response.
pub(super) fn attempt_end_of_status(status: StatusCode, headers: &HeaderMap) -> AttemptEnd {
    let not_started = headers.get("Not-Started").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => AttemptEnd::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => AttemptEnd::Rejected,
        _ => AttemptEnd::Error,
    }
}

/// How an attempt ended, by awc's error. The request has certainly not run only if the connection was never
/// established or the kernel did not accept the request's last byte. awc reports a connection that ends
/// before its response as `Connect(Disconnected)`: that connection was established and the request was
/// written.
pub(super) fn attempt_end_of_error(error: &SendRequestError) -> AttemptEnd {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptEnd::Reset,
        // This head is out of descriptors; the error is not the backend's fault.
        SendRequestError::Connect(ConnectError::Io(error))
            if matches!(error.raw_os_error(), Some(EMFILE | ENFILE)) =>
        {
            AttemptEnd::CancelledUnsent
        }
        SendRequestError::Connect(ConnectError::Timeout) => AttemptEnd::ConnectTimeout,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            AttemptEnd::ConnectFailed
        }
        _ => AttemptEnd::Reset,
    }
}
