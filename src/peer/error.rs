//! What can go wrong with calls between peers.

use std::net::SocketAddr;
use std::time::Duration;

/// Why a call to a peer brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The listening socket or the thread could not be set up.
    #[error("peer calls cannot start: {0}")]
    Start(#[from] std::io::Error),
    /// No connection could be made; nothing was sent.
    #[error("cannot connect to peer {address}: {cause}")]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// What the system said.
        cause: String,
    },
    /// An earlier connection failed and the pause before the next one is not over.
    #[error("peer {address} is not called again before {remaining:?} have passed")]
    BackedOff {
        /// Where to.
        address: SocketAddr,
        /// Rest of the pause.
        remaining: Duration,
    },
    /// Too many calls to this peer are waiting for an answer.
    #[error("too many calls to peer {address} are waiting")]
    Busy {
        /// Where to.
        address: SocketAddr,
    },
    /// The answer did not come in time.
    #[error("peer {address} did not answer within {timeout:?}")]
    Timeout {
        /// Where to.
        address: SocketAddr,
        /// Time allowed.
        timeout: Duration,
    },
    /// The call failed on the way or at the peer.
    #[error("call to peer {address} failed: {cause}")]
    Call {
        /// Where to.
        address: SocketAddr,
        /// What the RPC library said.
        cause: capnp::Error,
    },
    /// Peer calls have been shut down.
    #[error("peer calls have been shut down")]
    Closed,
}
