//! What was written to a connection and has not left this machine: the system's send queue.
//!
//! A write returns once the system has a copy. What lies in the send queue has not reached the peer, and still goes out
//! after the connection was closed, unless closing it resets the connection.

use crate::stream::Stream;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// `TCP_NOTSENT_LOWAT` with which a socket counts as writable only while nothing that was written is unsent.
const NOTHING_UNSENT: u32 = 1;
/// `TCP_NOTSENT_LOWAT` that stands for the system's own setting.
const SYSTEM_DEFAULT: u32 = 0;
/// Time after which the queue is looked at again, even if the system has reported nothing.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

impl Stream {
    /// Waits until everything that was written has been sent. It may be on its way, or wait in the peer's system. Returns
    /// at once where the system cannot tell.
    ///
    /// # Errors
    /// The connection has broken.
    pub async fn wait_until_sent(&self) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        if socket.set_tcp_notsent_lowat(NOTHING_UNSENT).is_err() {
            return Ok(());
        }
        let waited = self.wait_for_empty_send_queue().await;
        let _ = socket.set_tcp_notsent_lowat(SYSTEM_DEFAULT);
        waited
    }

    async fn wait_for_empty_send_queue(&self) -> io::Result<()> {
        while !is_writable(&self.socket) {
            // What the runtime knows of the socket is older than the option that has just been set.
            let _ = self.socket.try_io(Interest::WRITABLE, || Err::<(), _>(ErrorKind::WouldBlock.into()));
            let writable = self.turn.wait_for(self.socket.writable());
            if let Ok(ready) = tokio::time::timeout(CHECK_INTERVAL, writable).await {
                ready?;
            }
        }
        Ok(())
    }

    /// Makes closing the connection reset it, so that what lies in the send queue never reaches the peer.
    pub fn discard_unsent_on_close(&self) {
        // Fails where the connection has broken, and nothing is sent any more.
        let _ = self.socket.set_zero_linger();
    }

    /// Sets the time for which written bytes may stay unacknowledged before the system breaks the connection off and
    /// discards them; `None`: as long as the system retries. The system keeps to it while this process is paused.
    pub fn set_acknowledgement_timeout(&self, timeout: Option<Duration>) {
        // A system without the option leaves the bytes to the caller's own timers.
        let _ = SockRef::from(&self.socket).set_tcp_user_timeout(timeout);
    }
}

/// Whether a socket is writable now, asked of the system itself. A broken one counts as writable, and writing to it fails;
/// so does one of which the system cannot tell.
fn is_writable(socket: &TcpStream) -> bool {
    let mut sockets = [PollFd::new(socket, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    !matches!(poll(&mut sockets, Some(&no_wait)), Ok(0) | Err(rustix::io::Errno::INTR))
}
