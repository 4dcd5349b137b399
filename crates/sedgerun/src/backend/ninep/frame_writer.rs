//! Writes the frames of a connection in order. A frame of an attempt is written only if the attempt may still go on when
//! its turn comes, with nothing before it left in the send queue.

use super::connection::Connection;
use crate::backend::{BeginCheck, CalledOff};
use sedgerun_net::Stream;
use std::io;
use std::rc::{Rc, Weak};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

/// Time in which a backend must take some part of a frame.
const WRITE_STALL_TIME: Duration = Duration::from_secs(5);
/// Frames up to this size go out at once on a connection that has nothing in flight, whatever the backend does.
const SMALL_FRAME_BYTES: usize = 8 * 1024;

/// What a frame means for the attempt that sends it.
#[derive(Clone, Debug)]
pub(super) enum FrameRole {
    /// It belongs to no attempt, or frees something at the backend.
    Housekeeping,
    /// It prepares the operation of an attempt, and changes nothing.
    Preparation(BeginCheck),
    /// With its last byte the backend begins the operation of an attempt.
    Beginning(BeginCheck),
}

/// A frame that waits to be written.
#[derive(Debug)]
pub(super) struct QueuedFrame {
    pub(super) tag: u16,
    pub(super) bytes: Vec<u8>,
    pub(super) role: FrameRole,
}

/// Why no further frame is written to a connection.
#[derive(Debug, Error)]
enum WriteError {
    /// It has broken, or the backend takes nothing.
    #[error("writing failed: {0}")]
    Connection(#[from] io::Error),
    /// An attempt was called off with its frame written in part.
    #[error("a frame was written in part, and its attempt called off: {0}")]
    IncompleteFrame(CalledOff),
}

/// Writes queued frames until the socket fails, the backend takes nothing for [`WRITE_STALL_TIME`], or the connection is
/// dropped.
pub(super) async fn write_frames(
    mut queue: mpsc::Receiver<QueuedFrame>,
    stream: Rc<Stream>,
    connection: Weak<Connection>,
) {
    while let Some(frame) = queue.recv().await {
        let is_alone = connection.upgrade().is_some_and(|connection| connection.is_only_call(frame.tag));
        let written = write_frame(&frame, &stream, is_alone).await;
        let Some(connection) = connection.upgrade() else { return };
        match written {
            Ok(Ok(())) => {}
            Ok(Err(called_off)) => connection.call_off(frame.tag, called_off),
            Err(error) => return connection.close(&error),
        }
    }
}

/// Writes a frame, unless its attempt may not go on any more. Nothing lies in the send queue if the frame is alone.
async fn write_frame(
    frame: &QueuedFrame,
    stream: &Stream,
    is_alone: bool,
) -> Result<Result<(), CalledOff>, WriteError> {
    match &frame.role {
        FrameRole::Housekeeping => {}
        FrameRole::Preparation(check) => {
            check.heed_news().await;
            if let Err(called_off) = check.ask() {
                return Ok(Err(called_off));
            }
        }
        FrameRole::Beginning(check) => return write_beginning(&frame.bytes, check, stream, is_alone).await,
    }
    write(stream, &frame.bytes).await?;
    Ok(Ok(()))
}

/// Writes the frame with which the backend begins an operation.
async fn write_beginning(
    bytes: &[u8],
    check: &BeginCheck,
    stream: &Stream,
    is_alone: bool,
) -> Result<Result<(), CalledOff>, WriteError> {
    if !is_alone {
        wait_until_sent(stream).await?;
    }
    check.heed_news().await;
    if let Err(called_off) = check.ask() {
        return Ok(Err(called_off));
    }
    let mut rest = bytes;
    if bytes.len() > SMALL_FRAME_BYTES {
        let (front, last) = bytes.split_at(bytes.len() - 1);
        write(stream, front).await?;
        wait_until_sent(stream).await?;
        check.heed_news().await;
        check.ask().map_err(WriteError::IncompleteFrame)?;
        rest = last;
    }
    check.record_begun();
    write(stream, rest).await?;
    Ok(Ok(()))
}

async fn write(stream: &Stream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes, WRITE_STALL_TIME, |_| {}).await
}

async fn wait_until_sent(stream: &Stream) -> io::Result<()> {
    let sent = tokio::time::timeout(WRITE_STALL_TIME, stream.wait_until_sent()).await;
    sent.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
