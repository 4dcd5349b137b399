//! UDP.

use crate::turn::Turn;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A socket for datagrams.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
    turn: Turn,
}

impl DatagramSocket {
    /// Receives at an address.
    ///
    /// # Errors
    /// Errors of the operating system, such as an address that is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: UdpSocket::bind(address).await?, turn: Turn::default() })
    }

    /// The address that it receives at.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for a datagram and copies what fits; its length, and its sender.
    ///
    /// # Errors
    /// Errors of the operating system; a peer's port may be closed.
    pub async fn receive_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.turn.yield_if_over().await;
        self.turn.spend(0);
        self.turn.wait_for(self.socket.recv_from(buffer)).await
    }

    /// Sends a datagram.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        self.socket.send_to(datagram, to).await.map(drop)
    }
}
