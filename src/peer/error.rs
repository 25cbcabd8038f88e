//! Errors of calls between peers.

use std::net::SocketAddr;
use std::time::Duration;

/// Reason why a call to a peer returned no reply.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The listening socket or the RPC thread could not be set up.
    #[error("cannot start the peer RPC thread: {0}")]
    Start(#[from] std::io::Error),
    /// The connection failed; nothing was sent.
    #[error("cannot connect to peer {address}: {cause}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system, or the timeout.
        cause: String,
    },
    /// An earlier connection failed and the backoff has not elapsed.
    #[error("backing off from peer {address} for another {remaining:?}")]
    BackedOff {
        /// Address of the peer.
        address: SocketAddr,
        /// Rest of the backoff.
        remaining: Duration,
    },
    /// Too many calls to this peer are pending.
    #[error("too many calls to peer {address} are pending")]
    Busy {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The reply did not arrive in time.
    #[error("peer {address} did not reply within {timeout:?}")]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// The call failed in transit or at the peer.
    #[error("call to peer {address} failed: {cause}")]
    Call {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the RPC library.
        cause: capnp::Error,
    },
    /// Peer calls have been shut down.
    #[error("peer calls have been shut down")]
    Closed,
}
