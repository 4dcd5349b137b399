//! The server side of connections between heads: accepts connections, exchanges greetings, and processes the
//! requests of each connection one after the other. The [member](crate::member) determines the responses.

use crate::environment::Connection;
use crate::frame::{receive, send, with_timeout};
use crate::member::Member;
use crate::peer_network::GREETING_TIMEOUT;
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_net::Listener;
use sedgerun_replication::greeting::{Greeting, HandshakeError};
use sedgerun_replication::record::RecordType;
use sedgerun_replication::subscribe::SubscribeResponse;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A connection on which no request arrives for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for sending a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts connections of other heads. Never returns.
pub async fn serve(member: Arc<Member>, listener: Listener) {
    // The strong count is the number of open connections plus one, as each connection has a clone.
    let connections = Arc::new(());
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let member = Arc::clone(&member);
        // Idle clients could use up the file descriptors, so connections beyond the limit are closed at once.
        // The limit depends on whether this head votes, which may change.
        if Arc::strong_count(&connections) > member.settings.max_peer_connections(member.votes()) {
            continue;
        }
        let permit = Arc::clone(&connections);
        tokio::spawn(async move {
            let served = serve_connection(&member, Box::new(stream)).await;
            if let Err(error) = served {
                log_rejected(&member, peer, &error);
            }
            drop(permit);
        });
    }
}

/// Counts and logs a connection that was closed because of a corrupt frame or a rejected greeting.
fn log_rejected(member: &Member, peer: SocketAddr, error: &io::Error) {
    if matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::PermissionDenied) {
        let count = member.rejected_connections.fetch_add(1, Ordering::Relaxed) + 1;
        tracing::warn!("fleet: closed the connection from {peer} ({count} rejected so far): {error}");
    }
}

/// Responds to the requests of one head until it closes the connection.
///
/// # Errors
/// The connection has failed, a frame was corrupt, or the head was rejected.
pub async fn serve_connection(member: &Member, stream: Connection) -> io::Result<()> {
    let mut stream = member.network.count_traffic(stream);
    let mut theirs: Greeting =
        with_timeout(GREETING_TIMEOUT, receive(&mut stream, RecordType::Greeting)).await?;
    let own = member.network.own_greeting();
    let admitted = member.network.admit(&own, &theirs);
    let response: Result<Greeting, HandshakeError> = admitted.clone().map(|()| own);
    with_timeout(GREETING_TIMEOUT, send(&mut stream, RecordType::Greeting, &response)).await?;
    if let Err(refusal) = admitted {
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, format!("{}: {refusal}", theirs.head)));
    }
    theirs.secret.clear();
    loop {
        let request: PeerRequest = with_timeout(IDLE_TIMEOUT, receive(&mut stream, RecordType::Call)).await?;
        let response = member.respond(request, &theirs).await;
        with_timeout(RESPONSE_TIMEOUT, send(&mut stream, RecordType::Response, &response)).await?;
        // A redirected follower connects to a relay next. Closing its connection keeps the followers of a
        // whole zone from occupying the voter's connections.
        if let PeerResponse::Subscribed(SubscribeResponse::Redirect(_)) = response {
            return Ok(());
        }
    }
}
