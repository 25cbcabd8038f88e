//! How far hosts have heard of each other's listings of what changed.
//!
//! Listings travel with the views that hosts exchange anyway. Each names the versions
//! of the speaker's table that it covers, and up to where the listener's own listings
//! were taken in, so that only what is news is told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::IncarnationId;

/// How long a host that says nothing is remembered. One that comes back later is
/// told everything again.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

/// The versions that a listing covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DeltaBounds {
    /// Version of the speaker's table from which on changes are listed.
    pub from: u64,
    /// Version up to which they are.
    pub to: u64,
    /// Version of the listener's table up to which its listings were taken in.
    pub seen_to: u64,
}

/// How far another host and this one have heard of each other.
#[derive(Debug, Clone, Copy)]
struct PeerProgress {
    /// Its start; another one has another table.
    incarnation: IncarnationId,
    /// Version of its table up to which its listings were taken in.
    received_to: u64,
    /// Version of this host's table up to which it has taken listings in.
    acknowledged_to: u64,
    /// When it was last heard.
    at: Instant,
}

/// How far the hosts that this one exchanges views with have heard of its listings.
#[derive(Debug, Default)]
pub struct DeltaProgress {
    peers: FastMap<SocketAddr, PeerProgress>,
}

impl DeltaProgress {
    /// Bounds of a listing of everything up to `version` that the host at an address
    /// has not heard.
    pub fn bounds_for(&self, address: SocketAddr, version: u64) -> DeltaBounds {
        let peer = self.peers.get(&address);
        DeltaBounds {
            from: peer.map_or(0, |peer| peer.acknowledged_to),
            to: version,
            seen_to: peer.map_or(0, |peer| peer.received_to),
        }
    }

    /// Takes in the bounds of a listing by a start of the host at an address.
    ///
    /// A host that starts again knows nothing, and counts its versions anew. What the
    /// other one goes by is from before for one exchange: it lists from a version that
    /// this start has not heard up to, which is then not taken for heard, and the next
    /// listing begins where this one says.
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
