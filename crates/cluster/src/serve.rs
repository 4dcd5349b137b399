//! The server side of connections between heads: accepts them, exchanges greetings, and answers requests one after the
//! other. What is answered is decided by the [member](crate::member).

use crate::environment::Connection;
use crate::frame::{receive, send, within};
use crate::link::GREETING_TIMEOUT;
use crate::member::Member;
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::greeting::{Greeting, HandshakeError};
use sedgerun_replication::record::RecordType;
use sedgerun_replication::subscribe::SubscribeResponse;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a response must have been sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts connections of other heads, for as long as the future is polled.
pub async fn serve(member: Arc<Member>, listener: TcpListener) {
    // Counts connections: each has a clone of it.
    let connections = Arc::new(());
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let member = Arc::clone(&member);
        // Guards against callers that connect and stay: those past the limit are closed at once. The limit changes when
        // this head becomes a voter, or no longer is one.
        if Arc::strong_count(&connections) > member.settings.max_peer_connections(member.votes()) {
            continue;
        }
        let permit = Arc::clone(&connections);
        tokio::spawn(async move {
            let served = match stream.set_nodelay(true) {
                Ok(()) => serve_connection(&member, Box::new(stream)).await,
                Err(error) => Err(error),
            };
            if let Err(error) = served {
                log_refused(&member, peer, &error);
            }
            drop(permit);
        });
    }
}

/// Counts and logs a connection that was closed because of a corrupt frame or a rejected greeting.
fn log_refused(member: &Member, peer: SocketAddr, error: &io::Error) {
    if matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::PermissionDenied) {
        let refused = member.rejected_connections.fetch_add(1, Ordering::Relaxed) + 1;
        tracing::warn!("fleet: {peer}: {error}; connection closed, {refused} so far");
    }
}

/// Answers the requests of one head until it closes the connection.
///
/// # Errors
/// The connection has failed, a frame was corrupt, or the head was rejected.
pub async fn serve_connection(member: &Member, stream: Connection) -> io::Result<()> {
    let mut stream = member.links.counted(stream);
    let mut theirs: Greeting = within(GREETING_TIMEOUT, receive(&mut stream, RecordType::Greeting)).await?;
    let own = member.links.own();
    let admitted = member.links.admit(&own, &theirs);
    let answer: Result<Greeting, HandshakeError> = admitted.clone().map(|()| own);
    within(GREETING_TIMEOUT, send(&mut stream, RecordType::Greeting, &answer)).await?;
    if let Err(refusal) = admitted {
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, format!("{} is {refusal}", theirs.head)));
    }
    theirs.secret.clear();
    loop {
        let request: PeerRequest = within(IDLE_TIMEOUT, receive(&mut stream, RecordType::Call)).await?;
        let response = member.respond(request, &theirs).await;
        within(RESPONSE_TIMEOUT, send(&mut stream, RecordType::Response, &response)).await?;
        // Guards against a whole zone that stays connected to a voter which has redirected it to its relays.
        if let PeerResponse::Subscribed(SubscribeResponse::Redirect(_)) = response {
            return Ok(());
        }
    }
}
