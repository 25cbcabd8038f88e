//! How notes reach all hosts: with the views that hosts exchange anyway.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::note::PoisonListing;
use super::table::PoisonTable;
use crate::ids::{IncarnationId, RequestKey};

/// Notes in one listing at the most: 20 bytes each, 2.5 KB, four times a second
/// while there is news, which is under half of what a host may spend on control. A
/// full table has reached a host that starts after five exchanges.
const MOST_NOTES: usize = 128;
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
            seen_incarnation: peer.map_or(0, |peer| peer.incarnation),
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

    /// Takes in what a host at an address lists; gives the requests that are refused
    /// from now on. `own` and `other` are the starts of this host and of that one.
    pub fn take_listing(
        &mut self,
        address: SocketAddr,
        other: IncarnationId,
        listing: &PoisonListing,
        own: IncarnationId,
        now: Instant,
    ) -> Vec<RequestKey> {
        self.peers.retain(|_, peer| now < peer.at + FORGOTTEN_AFTER);
        let fresh = PeerProgress {
            incarnation: other,
            heard_to: 0,
            told_to: 0,
            at: now,
        };
        let peer = self.peers.entry(address).or_insert(fresh);
        if peer.incarnation != other {
            *peer = fresh;
        }
        peer.at = now;
        // A start that has heard nothing of this one begins anew.
        peer.told_to = match listing.seen_incarnation == own {
            true => listing.seen_to,
            false => 0,
        };
        // Notes are true by themselves, also where some before them are missing; only
        // the version may not be passed over.
        if listing.from <= peer.heard_to {
            peer.heard_to = peer.heard_to.max(listing.to);
        }
        self.merge(&listing.notes, now)
    }
}
