//! What lies in a connection's send queue: waited for, and discarded when the connection is given up.

use sedgerun_net::Stream;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// What the receiving socket buffers.
const RECEIVE_BUFFER: usize = 16 * 1024;
/// More than the receiver takes before it reads.
const LARGE: usize = 500_000;
const PAUSE: Duration = Duration::from_millis(300);
const STALL_TIME: Duration = Duration::from_secs(5);

/// A connection to a receiver that buffers little.
async fn connect() -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER).expect("a small buffer");
    let stream = Stream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    (stream, listener.accept().expect("a connection").0)
}

/// Reads to the end of a connection after a pause; the number of bytes.
fn read_after(pause: Duration, mut receiver: TcpStream) -> thread::JoinHandle<usize> {
    thread::spawn(move || {
        thread::sleep(pause);
        let (mut received, mut part) = (0, [0; 4096]);
        while let Ok(bytes @ 1..) = receiver.read(&mut part) {
            received += bytes;
        }
        received
    })
}

#[tokio::test]
async fn what_the_peer_takes_at_once_has_been_sent_at_once() {
    let (stream, _receiver) = connect().await;
    let begun = Instant::now();
    for _ in 0..3 {
        stream.write_all(&[1; 1000], STALL_TIME, |_| {}).await.expect("written");
        stream.wait_until_sent().await.expect("sent");
    }
    assert!(begun.elapsed() < PAUSE, "{:?}", begun.elapsed());
}

#[tokio::test]
async fn the_wait_ends_once_the_peer_has_taken_what_was_written() {
    let (stream, receiver) = connect().await;
    stream.write_all(&[1; LARGE], STALL_TIME, |_| {}).await.expect("written");
    let reader = read_after(PAUSE, receiver);
    let begun = Instant::now();
    stream.wait_until_sent().await.expect("sent");
    assert!(begun.elapsed() > PAUSE / 2, "the peer has not read yet: {:?}", begun.elapsed());
    // Later writes are not held back.
    stream.write_all(&[1; LARGE], STALL_TIME, |_| {}).await.expect("written");
    drop(stream);
    assert_eq!(reader.join().expect("a reader"), 2 * LARGE);
}

/// Guards against bytes that reach the peer after the connection was given up.
#[tokio::test]
async fn what_was_not_sent_is_discarded_on_close_where_that_is_asked_for() {
    for discards in [false, true] {
        let (stream, receiver) = connect().await;
        stream.write_all(&[1; LARGE], STALL_TIME, |_| {}).await.expect("written");
        if discards {
            stream.discard_unsent_on_close();
        }
        drop(stream);
        let received = read_after(PAUSE, receiver).join().expect("a reader");
        assert_eq!(received < LARGE, discards, "{received} bytes");
    }
}

/// Guards against bytes that reach the peer after their time, though this process does nothing about it.
#[tokio::test]
async fn what_is_not_acknowledged_in_time_is_discarded() {
    let (stream, receiver) = connect().await;
    stream.set_acknowledgement_timeout(Some(PAUSE));
    stream.write_all(&[1; LARGE], STALL_TIME, |_| {}).await.expect("written");
    let reader = read_after(4 * PAUSE, receiver);
    thread::sleep(5 * PAUSE);
    drop(stream);
    assert!(reader.join().expect("a reader") < LARGE);
}
