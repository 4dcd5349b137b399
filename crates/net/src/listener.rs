//! Accepts connections.

use crate::Stream;
use crate::turn::Turn;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// A listening socket.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    turn: Turn,
}

impl Listener {
    /// Listens at an address, also where a process before this one has connections there that are being closed. Up to
    /// `backlog` connections wait to be accepted.
    ///
    /// # Errors
    /// Errors of the operating system, such as an address that is in use.
    pub fn bind(address: SocketAddr, backlog: u32) -> io::Result<Listener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Listener { socket: socket.listen(backlog)?, turn: Turn::default() })
    }

    /// Wraps a socket that listens already.
    ///
    /// # Errors
    /// The socket cannot be made non-blocking or registered.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Listener> {
        listener.set_nonblocking(true)?;
        Ok(Listener { socket: TcpListener::from_std(listener)?, turn: Turn::default() })
    }

    /// The address that it listens at.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for a connection; with the peer's address.
    ///
    /// # Errors
    /// Descriptors or memory are exhausted, or the peer has disconnected already: all are temporary.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        self.turn.yield_if_over().await;
        self.turn.spend(0);
        let (socket, peer) = self.turn.wait_for(self.socket.accept()).await?;
        Ok((Stream::new(socket), peer))
    }
}
