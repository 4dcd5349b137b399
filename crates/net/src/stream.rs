//! Connections.

use crate::turn::Turn;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// Bytes of one read of what is dropped.
const DISCARD_BYTES: usize = 4 * 1024;

/// Where received bytes go.
pub trait ReadBuffer {
    /// The room for more bytes, which is not empty. Called once bytes have arrived, so that a buffer may be allocated
    /// only then.
    fn spare(&mut self) -> &mut [u8];
}

impl ReadBuffer for &mut [u8] {
    fn spare(&mut self) -> &mut [u8] {
        self
    }
}

/// Why a discard ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardEnd {
    /// The peer has closed or reset the connection.
    Disconnected,
    /// The peer has sent more than is discarded; no more is read.
    LimitReached,
}

/// A connection.
#[derive(Debug)]
pub struct Stream {
    pub(crate) socket: TcpStream,
    pub(crate) turn: Turn,
}

impl Stream {
    /// Connects to an address.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
        TcpStream::connect(address).await.map(Stream::new)
    }

    pub(crate) fn new(socket: TcpStream) -> Stream {
        // The last segment of a large write would otherwise wait for an acknowledgement that the peer delays.
        let _ = socket.set_nodelay(true);
        Stream { socket, turn: Turn::default() }
    }

    /// Waits until bytes arrive and reads those that fit; 0 at the end of the connection.
    ///
    /// # Errors
    /// The connection has broken.
    pub async fn read(&self, buffer: &mut impl ReadBuffer) -> io::Result<usize> {
        loop {
            self.turn.yield_if_over().await;
            self.turn.wait_for(self.socket.readable()).await?;
            match self.socket.try_read(buffer.spare()) {
                Err(error) if is_retryable(&error) => self.turn.spend(0),
                Ok(bytes) => {
                    self.turn.spend(bytes);
                    return Ok(bytes);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads until the buffer is full.
    ///
    /// # Errors
    /// The connection has broken, or ends before that (`UnexpectedEof`).
    pub async fn read_exact(&self, buffer: &mut [u8]) -> io::Result<()> {
        let mut filled = 0;
        while filled < buffer.len() {
            match self.read(&mut &mut buffer[filled..]).await? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                bytes => filled += bytes,
            }
        }
        Ok(())
    }

    /// Writes as much of several parts, in their order, as the socket takes, at least one byte.
    async fn write_some(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        loop {
            self.turn.yield_if_over().await;
            let written = match parts {
                [part] => self.socket.try_write(part),
                _ => self.socket.try_write_vectored(parts),
            };
            match written {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.turn.wait_for(self.socket.writable()).await?;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => self.turn.spend(0),
                Ok(written) => {
                    self.turn.spend(written);
                    return Ok(written);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes as much as the socket takes without waiting, and returns how many bytes; 0 if it takes none now.
    ///
    /// # Errors
    /// The connection has broken; none of these bytes was taken.
    pub fn write_now(&self, bytes: &[u8]) -> io::Result<usize> {
        let written = match self.socket.try_write(bytes) {
            Err(error) if is_retryable(&error) => Ok(0),
            written => written,
        };
        self.turn.spend(*written.as_ref().unwrap_or(&0));
        written
    }

    /// Waits until the socket may take bytes.
    ///
    /// # Errors
    /// The connection has broken.
    pub async fn writable(&self) -> io::Result<()> {
        self.turn.yield_if_over().await;
        self.turn.wait_for(self.socket.writable()).await
    }

    /// Writes all bytes. Some part must be taken within each `stall_time`; `on_progress` is called with the length of
    /// each part.
    ///
    /// # Errors
    /// The connection has broken, or no byte was taken for `stall_time` (`TimedOut`).
    pub async fn write_all(
        &self,
        bytes: &[u8],
        stall_time: Duration,
        on_progress: impl FnMut(usize),
    ) -> io::Result<()> {
        self.write_all_parts(&mut [IoSlice::new(bytes)], stall_time, on_progress).await
    }

    /// As [`write_all`](Self::write_all), for bytes that lie in several parts.
    ///
    /// # Errors
    /// As there.
    pub async fn write_all_parts(
        &self,
        mut parts: &mut [IoSlice<'_>],
        stall_time: Duration,
        mut on_progress: impl FnMut(usize),
    ) -> io::Result<()> {
        // Drops empty parts, so that none is left once all is written.
        IoSlice::advance_slices(&mut parts, 0);
        while !parts.is_empty() {
            let written = tokio::time::timeout(stall_time, self.write_some(parts)).await;
            let written = written.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
            on_progress(written);
            IoSlice::advance_slices(&mut parts, written);
        }
        Ok(())
    }

    /// Reads and drops bytes until the peer disconnects or `limit` bytes were dropped, which it counts down. Cancelling
    /// the future loses no bytes but those that `limit` counts.
    pub async fn discard(&self, limit: &mut usize) -> DiscardEnd {
        while *limit > 0 {
            self.turn.yield_if_over().await;
            if self.turn.wait_for(self.socket.readable()).await.is_err() {
                return DiscardEnd::Disconnected;
            }
            match self.try_discard(*limit) {
                Ok(0) => return DiscardEnd::Disconnected,
                Ok(bytes) => {
                    self.turn.spend(bytes);
                    *limit -= bytes;
                }
                Err(error) if is_retryable(&error) => self.turn.spend(0),
                Err(_) => return DiscardEnd::Disconnected,
            }
        }
        DiscardEnd::LimitReached
    }

    /// Reads bytes into a buffer that does not outlive the call, so that a waiting task holds none.
    fn try_discard(&self, limit: usize) -> io::Result<usize> {
        let mut buffer = [0; DISCARD_BYTES];
        self.socket.try_read(&mut buffer[..limit.min(DISCARD_BYTES)])
    }

    /// Ends the sending side; the peer still receives what was written before.
    pub async fn close_sending(&mut self) {
        // Fails where the connection has broken, which its reader notices.
        let _ = self.socket.shutdown().await;
    }

    /// Whether nothing has arrived, and the connection is open. What has arrived is lost: the connection is of no use
    /// then.
    pub fn is_silent(&self) -> bool {
        let received = self.socket.try_read(&mut [0; 1]);
        received.is_err_and(|error| is_retryable(&error))
    }

    /// Whether the peer has closed its sending side, be it that bytes before it are still unread.
    pub async fn is_read_closed(&self) -> bool {
        let mut ready = std::pin::pin!(self.socket.ready(Interest::READABLE));
        std::future::poll_fn(|context| {
            let is_closed = match ready.as_mut().poll(context) {
                std::task::Poll::Ready(ready) => ready.is_ok_and(tokio::io::Ready::is_read_closed),
                std::task::Poll::Pending => false,
            };
            std::task::Poll::Ready(is_closed)
        })
        .await
    }
}

/// Whether an operation has transferred nothing and can be repeated.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
