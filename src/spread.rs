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
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The versions that a listing covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ListingBounds {
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
    heard_to: u64,
    /// Version of this host's table up to which it has taken listings in.
    told_to: u64,
    /// When it was last heard.
    at: Instant,
}

/// How far the hosts that this one exchanges views with have heard of its listings.
#[derive(Debug, Default)]
pub struct SpreadProgress {
    peers: FastMap<SocketAddr, PeerProgress>,
}

impl SpreadProgress {
    /// Bounds of a listing of everything up to `version` that the host at an address
    /// has not heard.
    pub fn bounds_for(&self, address: SocketAddr, version: u64) -> ListingBounds {
        let peer = self.peers.get(&address);
        ListingBounds {
            from: peer.map_or(0, |peer| peer.told_to),
            to: version,
            seen_to: peer.map_or(0, |peer| peer.heard_to),
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
        bounds: ListingBounds,
        now: Instant,
    ) {
        self.peers.retain(|_, peer| now < peer.at + FORGOTTEN_AFTER);
        let fresh = PeerProgress {
            incarnation,
            heard_to: 0,
            told_to: 0,
            at: now,
        };
        let peer = self.peers.entry(address).or_insert(fresh);
        if peer.incarnation != incarnation {
            *peer = fresh;
        }
        peer.at = now;
        peer.told_to = bounds.seen_to;
        if bounds.from <= peer.heard_to {
            peer.heard_to = peer.heard_to.max(bounds.to);
        }
    }
}
