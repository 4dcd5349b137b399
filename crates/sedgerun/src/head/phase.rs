//! The phases of a process's life.

/// Where the program is in its life. The names stand in the log, where operators and their tools read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads the endpoint list of its configuration; takes no requests yet.
    Starting,
    /// Takes and answers requests.
    Serving,
    /// SIGTERM has come: still takes requests, on the connections that clients have.
    Draining,
    /// Takes no new connections; answers what it has taken, and closes connections behind the answers.
    Closing,
    /// All is answered.
    Ended,
}
