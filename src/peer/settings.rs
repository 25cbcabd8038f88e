//! Limits of calls between peers.

use std::net::SocketAddr;
use std::time::Duration;

/// Where to listen and how long to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Time allowed for making a connection.
    pub connect_timeout: Duration,
    /// Time allowed for an answer once the connection stands.
    pub call_timeout: Duration,
    /// Pause after the first failed connection; doubles with each further one.
    pub first_backoff: Duration,
    /// Longest pause between connections.
    pub last_backoff: Duration,
    /// A connection on which nothing arrived for so long is closed.
    pub idle_timeout: Duration,
    /// Largest message taken in, in bytes.
    pub message_limit: usize,
    /// Most incoming connections at once.
    pub connection_limit: usize,
    /// Most calls to one peer that wait for an answer.
    pub pending_limit: usize,
    /// Seed of the jitter on pauses.
    pub seed: u64,
}

impl PeerSettings {
    /// Limits fit for a few hundred peers, listening on `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(1),
            first_backoff: Duration::from_millis(100),
            last_backoff: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            message_limit: 4 * 1024 * 1024,
            connection_limit: 1024,
            pending_limit: 32,
            seed: 0,
        }
    }
}
