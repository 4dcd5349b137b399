//! The listener for other heads.

use super::keeper::Keeper;
use super::link::{GREETING, receive, send};
use super::node::Node;
use super::outside::Wire;
use super::types::Call;
use sedgerun_fleet::greeting::{Greeting, Refusal};
use sedgerun_fleet::record::Kind;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// The most heads and command lines that are connected at once.
const MOST_CALLERS: usize = 128;
/// A connection on which nothing is asked for so long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// Time in which an answer must have left.
const ANSWER: Duration = Duration::from_secs(5);

/// Accepts heads for as long as the future is polled.
pub async fn serve(node: Node, listener: TcpListener) {
    let room = Arc::new(Semaphore::new(MOST_CALLERS));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // Guards against callers that connect and stay: those past the bound are closed at once.
        let Ok(place) = Arc::clone(&room).try_acquire_owned() else { continue };
        let keeper = Arc::clone(&node.keeper);
        tokio::spawn(async move {
            let conversed = match stream.set_nodelay(true) {
                Ok(()) => converse(&keeper, Box::new(stream)).await,
                Err(error) => Err(error),
            };
            if let Err(error) = conversed {
                let spoilt =
                    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::PermissionDenied);
                if spoilt {
                    let refused = keeper.refused.fetch_add(1, Ordering::Relaxed) + 1;
                    tracing::warn!("fleet: {peer}: {error}; connection closed, {refused} so far");
                }
            }
            drop(place);
        });
    }
}

/// Answers one head for as long as it asks.
pub async fn converse(keeper: &Keeper, mut stream: Wire) -> io::Result<()> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let greeting = tokio::time::timeout(GREETING, receive(&mut stream, Kind::Greeting)).await;
    let mut theirs: Greeting = greeting.map_err(late)??;
    let own = keeper.links.own();
    let admitted = keeper.links.admit(&own, &theirs);
    let words: Result<Greeting, Refusal> = admitted.clone().map(|()| own);
    tokio::time::timeout(GREETING, send(&mut stream, Kind::Greeting, &words)).await.map_err(late)??;
    if let Err(refusal) = admitted {
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, format!("{} is {refusal}", theirs.head)));
    }
    theirs.secret.clear();
    loop {
        let call = tokio::time::timeout(IDLE, receive::<Call>(&mut stream, Kind::Call)).await;
        let reply = keeper.answer(call.map_err(late)??, &theirs).await;
        tokio::time::timeout(ANSWER, send(&mut stream, Kind::Reply, &reply)).await.map_err(late)??;
    }
}
