//! How notes reach all hosts: with the views that hosts exchange anyway.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::note::PoisonListing;
use super::table::PoisonTable;
use crate::ids::{IncarnationId, RequestKey};

/// Notes in one listing at the most: 20 bytes each, four times a second in both
/// directions, 10 KB a second while there is ever more news, under half of what a
/// host may spend on control. A full table has reached a host that starts after some
/// five exchanges, 1.3 s.
const MOST_NOTES: usize = 64;
/// How long a host that says nothing is remembered. One that comes back later is
/// told everything again.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// How far another host and this one have heard of each other's notes.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerProgress {
    /// Its start; another one has another table.
    incarnation: IncarnationId,
    /// Version of its table up to which its notes were taken in.
    heard_to: u64,
    /// Version of this host's table up to which it has taken notes in.
    told_to: u64,
    /// When it was last heard.
    at: Instant,
}

impl PoisonTable {
    /// What to tell the host at an address: everything that changed since what it
    /// said that it has taken in, oldest changes first.
    pub fn listing_for(&self, address: SocketAddr, now: Instant) -> PoisonListing {
        let peer = self.peers.get(&address);
        let from = peer.map_or(0, |peer| peer.told_to);
        let news = self.records.iter();
        let news = news.filter(|(_, record)| record.changed > from);
        let mut news = news.collect::<Vec<_>>();
        news.sort_unstable_by_key(|(_, record)| record.changed);
        let mut listing = PoisonListing {
            from,
            to: self.version,
            notes: Vec::new(),
            seen_to: peer.map_or(0, |peer| peer.heard_to),
        };
        let mut listed_to = from;
        for (request, record) in news {
            let notes = record.notes(*request, now);
            if listing.notes.len() + notes.len() > MOST_NOTES {
                listing.to = listed_to;
                break;
            }
            listing.notes.extend(notes);
            listed_to = record.changed;
        }
        listing
    }

    /// Takes in what a start of the host at an address lists; gives the requests that
    /// are refused from now on.
    ///
    /// A host that starts again knows nothing, and counts its versions anew. What the
    /// other one goes by is from before for one exchange: it lists from a version that
    /// this start has not heard up to, which is then not taken for heard, and the next
    /// listing begins where this one says.
    pub fn take_listing(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        listing: &PoisonListing,
        now: Instant,
    ) -> Vec<RequestKey> {
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
        peer.told_to = listing.seen_to;
        if listing.from <= peer.heard_to {
            peer.heard_to = peer.heard_to.max(listing.to);
        }
        self.merge(&listing.notes, now)
    }
}
