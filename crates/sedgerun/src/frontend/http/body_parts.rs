//! A response body that is passed to the connection in parts.
//!
//! The connection copies each part into its write buffer, which keeps its capacity for as long as the
//! connection stays open. Passed as a whole, a large body would leave a buffer of its size at every
//! connection that has received one.

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The largest part, in bytes.
const MAX_PART_BYTES: usize = 16 * 1024;

/// The part of a response body that has not been passed to the connection yet.
pub(super) struct BodyParts(pub(super) Bytes);

impl MessageBody for BodyParts {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.len() as u64)
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.0.len().min(MAX_PART_BYTES);
        Poll::Ready(Some(Ok(self.0.split_to(length))))
    }
}
