//! How notes reach all hosts: with the views that hosts exchange anyway.

use std::net::SocketAddr;
use std::time::Instant;

use super::note::PoisonListing;
use super::table::PoisonTable;
use crate::ids::{IncarnationId, RequestKey};

/// Notes in one listing at the most: 20 bytes each, four times a second in both
/// directions, 10 KB a second while there is ever more news, under half of what a
/// host may spend on control. A full table has reached a host that starts after some
/// five exchanges, 1.3 s.
const MOST_NOTES: usize = 64;

impl PoisonTable {
    /// What to tell the host at an address: everything that changed since what it
    /// said that it has taken in, oldest changes first.
    pub fn listing_for(&self, address: SocketAddr, now: Instant) -> PoisonListing {
        let mut bounds = self.progress.bounds_for(address, self.version);
        let news = self.records.iter();
        let news = news.filter(|(_, record)| record.changed > bounds.from);
        let mut news = news.collect::<Vec<_>>();
        news.sort_unstable_by_key(|(_, record)| record.changed);
        let mut notes = Vec::new();
        let mut listed_to = bounds.from;
        for (request, record) in news {
            let record_notes = record.notes(*request, now);
            if notes.len() + record_notes.len() > MOST_NOTES {
                bounds.to = listed_to;
                break;
            }
            notes.extend(record_notes);
            listed_to = record.changed;
        }
        PoisonListing { bounds, notes }
    }

    /// Takes in what a start of the host at an address lists; gives the requests that
    /// are refused from now on.
    pub fn take_listing(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        listing: &PoisonListing,
        now: Instant,
    ) -> Vec<RequestKey> {
        self.progress
            .observe(address, incarnation, listing.bounds, now);
        self.merge(&listing.notes, now)
    }
}
