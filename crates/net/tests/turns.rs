//! A peer that is always ready does not keep the event loop: other tasks run beside each kind of operation.

#![allow(clippy::disallowed_types, reason = "the peers of the sockets under test")]

use sedgerun_net::{DatagramSocket, DiscardEnd, Listener, Stream};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const RUN_TIME: Duration = Duration::from_millis(300);
/// The longest that another task may wait.
const WAIT_BOUND: Duration = Duration::from_millis(50);

/// Runs an operation beside a task that looks at the clock as often as it may; the longest time between two looks.
async fn longest_wait_beside(operation: impl Future<Output = ()>) -> Duration {
    let looks = async {
        let (begun, mut last, mut longest) = (Instant::now(), Instant::now(), Duration::ZERO);
        while begun.elapsed() < RUN_TIME {
            tokio::time::sleep(Duration::from_millis(1)).await;
            longest = longest.max(last.elapsed());
            last = Instant::now();
        }
        longest
    };
    // As a task that is polled for as long as it is ready.
    tokio::select! {
        biased;
        () = operation => panic!("the operation has ended"),
        longest = looks => longest,
    }
}

/// A stream whose peer writes, or reads, at full speed.
async fn stream_to(peer: impl Fn(TcpStream, &AtomicBool) + Send + 'static) -> (Stream, Arc<AtomicBool>) {
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(address, 16).expect("a listener");
    let to = listener.local_addr().expect("an address");
    let over = Arc::<AtomicBool>::default();
    let peer_over = Arc::clone(&over);
    thread::spawn(move || peer(TcpStream::connect(to).expect("a connection"), &peer_over));
    let (stream, _) = listener.accept().await.expect("a connection");
    (stream, over)
}

fn writes(mut stream: TcpStream, over: &AtomicBool) {
    while !over.load(Ordering::SeqCst) && stream.write_all(&[b'x'; 64 * 1024]).is_ok() {}
}

fn reads(mut stream: TcpStream, over: &AtomicBool) {
    let mut buffer = vec![0; 1 << 20];
    while !over.load(Ordering::SeqCst) && stream.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
}

#[tokio::test(flavor = "current_thread")]
async fn reads_without_end_let_other_tasks_run() {
    let (stream, over) = stream_to(writes).await;
    let longest = longest_wait_beside(async {
        let mut buffer = [0; 256];
        while stream.read(&mut &mut buffer[..]).await.is_ok() {}
    });
    let longest = longest.await;
    over.store(true, Ordering::SeqCst);
    assert!(longest < WAIT_BOUND, "{longest:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn discards_without_end_let_other_tasks_run() {
    let (stream, over) = stream_to(writes).await;
    let longest = longest_wait_beside(async {
        stream.discard(&mut usize::MAX.clone()).await;
    });
    let longest = longest.await;
    over.store(true, Ordering::SeqCst);
    assert!(longest < WAIT_BOUND, "{longest:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn writes_without_end_let_other_tasks_run() {
    let (stream, over) = stream_to(reads).await;
    let longest = longest_wait_beside(async {
        while stream.write_all(&[0; 1024], Duration::from_secs(1), |_| {}).await.is_ok() {}
    });
    let longest = longest.await;
    over.store(true, Ordering::SeqCst);
    assert!(longest < WAIT_BOUND, "{longest:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn async_reads_without_end_let_other_tasks_run() {
    use tokio::io::AsyncReadExt;
    let (mut stream, over) = stream_to(writes).await;
    let longest = longest_wait_beside(async {
        let mut buffer = [0; 256];
        while AsyncReadExt::read(&mut stream, &mut buffer).await.is_ok() {}
    });
    let longest = longest.await;
    over.store(true, Ordering::SeqCst);
    assert!(longest < WAIT_BOUND, "{longest:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn datagrams_without_end_let_other_tasks_run() {
    let socket = DatagramSocket::bind("127.0.0.1:0".parse().expect("an address")).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let over = Arc::<AtomicBool>::default();
    let peer_over = Arc::clone(&over);
    thread::spawn(move || {
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        while !peer_over.load(Ordering::SeqCst) {
            let _ = peer.send_to(&[0; 64], to);
        }
    });
    let longest = longest_wait_beside(async {
        let mut buffer = [0; 64];
        while socket.receive_from(&mut buffer).await.is_ok() {}
    });
    let longest = longest.await;
    over.store(true, Ordering::SeqCst);
    assert!(longest < WAIT_BOUND, "{longest:?}");
}

/// Guards against a peer from which gigabytes are read only to be dropped.
#[tokio::test(flavor = "current_thread")]
async fn a_discard_ends_at_its_limit() {
    let (stream, over) = stream_to(writes).await;
    let mut limit = 100_000;
    let end = tokio::time::timeout(Duration::from_secs(5), stream.discard(&mut limit)).await;
    over.store(true, Ordering::SeqCst);
    assert_eq!((end, limit), (Ok(DiscardEnd::LimitReached), 0));
}
