//! Connections for code that is written against `AsyncRead` and `AsyncWrite`, with the same budget of a turn.

use crate::Stream;
use crate::turn::Turn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether the budget of the turn leaves an operation. If not, the task is polled again after others.
fn poll_turn(turn: &Turn, context: &mut Context<'_>) -> Poll<()> {
    if !turn.is_over() {
        return Poll::Ready(());
    }
    turn.restart();
    context.waker().wake_by_ref();
    Poll::Pending
}

/// Counts an operation, or ends the turn of a socket that is not ready.
fn count(turn: &Turn, was_ready: bool, bytes: usize) {
    if was_ready { turn.spend(bytes) } else { turn.restart() }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        ready!(poll_turn(&stream.turn, context));
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut stream.socket).poll_read(context, buffer);
        count(&stream.turn, result.is_ready(), buffer.filled().len() - filled_before);
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        ready!(poll_turn(&stream.turn, context));
        let result = Pin::new(&mut stream.socket).poll_write(context, bytes);
        let written = if let Poll::Ready(Ok(written)) = result { written } else { 0 };
        count(&stream.turn, result.is_ready(), written);
        result
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(context)
    }
}
