//! What a backend's HTTP response, or the error in its place, says of the attempt.

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

/// How long a connection rests behind a response before it is used again.
const REST_BEFORE_REUSE: Duration = Duration::from_millis(5);
/// The largest figure that a backend can mean: what the simulator's wire has room for.
const MAX_FIGURE: f64 = 65_535.0;

/// The length of a response's body in bytes. A complete response stream has framed it: all of it is there.
pub fn content_length(headers: &HeaderMap) -> usize {
    let length = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

/// What a backend reports of its load in the headers of a response.
pub(super) struct LoadReport {
    /// The volume's use everywhere, as a multiple of its plan's rate.
    pub(super) volume_usage: Option<f64>,
    /// Units that the backend served the volume through other heads.
    pub(super) units_elsewhere: f64,
}

impl LoadReport {
    pub(super) fn read(headers: &HeaderMap) -> LoadReport {
        LoadReport {
            volume_usage: figure(headers, "X-Iops-Used").map(|percent| percent / 100.0),
            units_elsewhere: figure(headers, "X-Rho").unwrap_or(0.0),
        }
    }
}

/// A figure that a backend reports in the headers of a response. One that cannot be read, or that no volume can reach, is
/// passed over; the response counts without it.
fn figure(headers: &HeaderMap, name: &str) -> Option<f64> {
    let value: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    (0.0..=MAX_FIGURE).contains(&value).then_some(value)
}

/// Reads a body to its length; `None` where the connection breaks off before.
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

/// Gives a response's connection back to awc, a little later.
///
/// Guards against backends that close a connection right behind a response: a write that goes out before that is
/// noticed may have run, and fails. awc takes the connection back at the end of the body, which it is
/// given after the rest.
pub(super) fn release_after_rest<S>(mut response: ClientResponse<S>)
where
    ClientResponse<S>: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    actix_rt::spawn(async move {
        tokio::time::sleep(REST_BEFORE_REUSE).await;
        while let Some(Ok(_)) = response.next().await {}
    });
}

/// How an attempt ended that was answered with this status.
pub(super) fn end_of_status(status: StatusCode, headers: &HeaderMap) -> AttemptEnd {
    let not_started = headers.get("Not-Started").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => AttemptEnd::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => AttemptEnd::Rejected,
        _ => AttemptEnd::Error,
    }
}

/// What an error proves. Only a connection that was never made, or a request whose last byte the kernel
/// never took, proves that nothing ran. awc reports a connection that ends before its response as
/// `Connect(Disconnected)`: that one has been made, and the request written.
pub(super) fn end_of_error(error: &SendRequestError) -> AttemptEnd {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptEnd::Reset,
        // Out of descriptors here: it tells nothing of the backend.
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
