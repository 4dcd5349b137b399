//! Serves the requests of heads at an emulated backend over HTTP.

use super::backends::{AttemptVerdict, EmulatedBackend};
use crate::http::HttpConnection;
use std::io;
use std::rc::Rc;

/// Serves one connection until it closes or breaks.
pub async fn serve_connection(
    backend: Rc<EmulatedBackend>,
    mut connection: HttpConnection,
) -> io::Result<()> {
    let mut is_new = true;
    while let Some(request) = connection.read(false).await? {
        backend.wait_while_silent().await?;
        let id = request.header("Request-Id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some(ticket) = id else { return connection.answer("404 Not Found", "", "").await };
        let needs_handshake = std::mem::take(&mut is_new);
        let verdict = tokio::select! {
            verdict = Rc::clone(&backend).attempt(ticket, needs_handshake) => verdict,
            () = connection.closed() => return Ok(()),
        };
        match verdict {
            AttemptVerdict::Served => connection.answer("200 OK", "", &format!("{ticket:016x}")).await?,
            AttemptVerdict::Rejected => {
                connection.answer("503 Service Unavailable", "Not-Started: 1\r\n", "").await?;
            }
        }
    }
    Ok(())
}
