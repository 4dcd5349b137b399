//! The network of a host process: each region and zone has loopback addresses of its own, so that both ends of a
//! connection know where the other one is, and a region can be cut off from the others.

use sedgerun_cluster::environment::{Connection, Dial, DialFuture};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections that wait to be accepted at one head.
const BACKLOG: u32 = 128;

/// One zone's part of the network.
#[derive(Clone, Debug)]
pub struct ZoneNetwork {
    address: Ipv4Addr,
    cut: Arc<watch::Sender<bool>>,
}

impl ZoneNetwork {
    /// The network of a zone in a region; both are numbered from 1.
    pub fn new(region: u8, zone: u8) -> ZoneNetwork {
        ZoneNetwork { address: Ipv4Addr::new(127, 0, region, zone), cut: Arc::new(watch::Sender::new(false)) }
    }

    /// Cuts the region off from the others, or connects it again. Open connections to others are lost.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// A listener at an address of the zone.
    pub fn listen(&self) -> io::Result<TcpListener> {
        self.socket()?.listen(BACKLOG)
    }

    /// Takes a connection that a listener has accepted; `None` where it comes from a region that is cut off.
    pub fn accept(&self, stream: TcpStream, peer: SocketAddr) -> io::Result<Option<Connection>> {
        if self.is_cut_off_from(peer.ip()) {
            return Ok(None);
        }
        self.connection(stream, peer.ip()).map(Some)
    }

    fn socket(&self) -> io::Result<TcpSocket> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind((self.address, 0).into())?;
        Ok(socket)
    }

    fn is_other_region(&self, ip: IpAddr) -> bool {
        match ip {
            IpAddr::V4(ip) => ip.octets()[2] != self.address.octets()[2],
            IpAddr::V6(_) => true,
        }
    }

    fn is_cut_off_from(&self, ip: IpAddr) -> bool {
        *self.cut.borrow() && self.is_other_region(ip)
    }

    fn connection(&self, stream: TcpStream, peer: IpAddr) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        if !self.is_other_region(peer) {
            return Ok(Box::new(stream));
        }
        let mut cut = self.cut.subscribe();
        let lost = Box::pin(async move {
            // The network lives as long as its process.
            let _ = cut.wait_for(|cut| *cut).await;
        });
        Ok(Box::new(OutsideConnection { stream, lost }))
    }
}

impl Dial for ZoneNetwork {
    fn dial(&self, to: SocketAddr) -> DialFuture {
        let network = self.clone();
        Box::pin(async move {
            if network.is_cut_off_from(to.ip()) {
                return Err(io::ErrorKind::NetworkUnreachable.into());
            }
            let stream = network.socket()?.connect(to).await?;
            network.connection(stream, to.ip())
        })
    }
}

/// A connection to another region, which is lost when the regions are cut apart.
struct OutsideConnection {
    stream: TcpStream,
    lost: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl OutsideConnection {
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.lost.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for OutsideConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for OutsideConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
