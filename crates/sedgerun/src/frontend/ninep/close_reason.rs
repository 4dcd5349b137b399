//! Why a session ended.

use crate::logging::info_by_kind;
use thiserror::Error;

/// Why a session ended. The texts stand in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CloseReason {
    /// The client closed or reset the connection.
    #[error("the client closed it")]
    Disconnected,
    /// The first message, or the rest of one, did not come in time.
    #[error("a message is late")]
    MessageOverdue,
    /// The length of a message is out of range, so that its end is unknown.
    #[error("a message of an impossible length")]
    InvalidLength,
    /// A message is too short for a tag, or its tag is in flight or none.
    #[error("a message with an unusable tag")]
    UnusableTag,
    /// The client's limit on messages is too small.
    #[error("the client's message size is too small")]
    MessageSizeTooSmall,
    /// The client has not taken any part of a reply for some time, or its connection broke.
    #[error("a reply was not taken")]
    ReplyNotTaken,
}

impl CloseReason {
    /// Logs the end of a session.
    pub(super) fn log(self, session: u64) {
        info_by_kind!(
            self,
            [
                CloseReason::Disconnected,
                CloseReason::MessageOverdue,
                CloseReason::InvalidLength,
                CloseReason::UnusableTag,
                CloseReason::MessageSizeTooSmall,
                CloseReason::ReplyNotTaken,
            ],
            format_args!("9P session {session} closed: {self}")
        );
    }
}
