//! Limits of calls between peers.

use std::net::SocketAddr;
use std::time::Duration;

/// Address, timeouts and limits of peer calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Timeout for making a connection.
    pub connect_timeout: Duration,
    /// Timeout for a reply once the connection is established.
    pub call_timeout: Duration,
    /// Backoff after the first failed connection; doubles with each further failure.
    pub first_backoff: Duration,
    /// Maximum backoff.
    pub last_backoff: Duration,
    /// Time without received data after which a connection is closed.
    pub idle_timeout: Duration,
    /// Maximum size of a received message, in bytes.
    pub message_limit: usize,
    /// Maximum number of open incoming connections.
    pub connection_limit: usize,
    /// Maximum number of pending calls to one peer.
    pub pending_limit: usize,
    /// Seed of the backoff's jitter.
    pub seed: u64,
}

impl PeerSettings {
    /// Returns settings for a few hundred peers that listen on `listen`.
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
