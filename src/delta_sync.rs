//! Tracks how far hosts have received the deltas of each other's tables.
//!
//! Deltas travel with the views that hosts exchange. Each names the versions of the
//! sender's table that it covers and the version up to which the sender has applied the
//! receiver's deltas, so that only updates are sent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::IncarnationId;

/// Time after which a silent host is forgotten. A host that returns later is sent the whole
/// table again.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

/// The versions that a delta covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DeltaBounds {
    /// Version of the sender's table from which on changes are included.
    pub from: u64,
    /// Version of the sender's table up to which changes are included.
    pub to: u64,
    /// Version of the receiver's table up to which the sender has applied its deltas.
    pub seen_to: u64,
}

/// Progress of the exchange between this host and a peer.
#[derive(Debug, Clone, Copy)]
struct PeerProgress {
    /// Incarnation of the peer; another incarnation has another table.
    incarnation: IncarnationId,
    /// Version of the peer's table up to which its deltas have been applied.
    received_to: u64,
    /// Version of this host's table up to which the peer has applied deltas.
    acknowledged_to: u64,
    /// When the last delta of the peer arrived.
    at: Instant,
}

/// Progress of the exchange with each peer.
#[derive(Debug, Default)]
pub struct DeltaProgress {
    peers: FastMap<SocketAddr, PeerProgress>,
}

impl DeltaProgress {
    /// Returns the bounds of a delta of everything up to `version` that the host at
    /// `address` has not acknowledged.
    pub fn bounds_for(&self, address: SocketAddr, version: u64) -> DeltaBounds {
        let peer = self.peers.get(&address);
        DeltaBounds {
            from: peer.map_or(0, |peer| peer.acknowledged_to),
            to: version,
            seen_to: peer.map_or(0, |peer| peer.received_to),
        }
    }

    /// Records the bounds of a delta that the host at `address` sent as `incarnation`.
    ///
    /// A host that restarts has an empty table and counts its versions from zero. For one
    /// exchange its peer still uses the progress of the previous incarnation and sends a
    /// delta that begins beyond what the new incarnation has received. Such a delta does
    /// not advance `received_to`, so that the next one begins at the right version.
    pub fn observe(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        bounds: DeltaBounds,
        now: Instant,
    ) {
        self.peers.retain(|_, peer| now < peer.at + PEER_EXPIRY);
        let fresh = PeerProgress {
            incarnation,
            received_to: 0,
            acknowledged_to: 0,
            at: now,
        };
        let peer = self.peers.entry(address).or_insert(fresh);
        if peer.incarnation != incarnation {
            *peer = fresh;
        }
        peer.at = now;
        peer.acknowledged_to = bounds.seen_to;
        if bounds.from <= peer.received_to {
            peer.received_to = peer.received_to.max(bounds.to);
        }
    }
}
