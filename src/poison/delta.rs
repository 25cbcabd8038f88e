//! How notes reach all hosts: with the views that hosts exchange anyway.

use std::net::SocketAddr;
use std::time::Instant;

use super::evidence::PoisonDelta;
use super::table::PoisonTable;
use crate::ids::{IncarnationId, RequestKey};

/// Notes in one listing at the most: 20 bytes each, four times a second in both
/// directions, 10 KB a second while there is ever more news, under half of what a
/// host may spend on control. A full table has reached a host that starts after some
/// five exchanges, 1.3 s.
const MAX_DELTA_EVIDENCE: usize = 64;

impl PoisonTable {
    /// What to tell the host at an address: everything that changed since what it
    /// said that it has taken in, oldest changes first.
    pub fn delta_for(&self, address: SocketAddr, now: Instant) -> PoisonDelta {
        let mut bounds = self.progress.bounds_for(address, self.version);
        let updates = self.records.iter();
        let updates = updates.filter(|(_, record)| record.changed > bounds.from);
        let mut updates = updates.collect::<Vec<_>>();
        updates.sort_unstable_by_key(|(_, record)| record.changed);
        let mut evidence = Vec::new();
        let mut listed_to = bounds.from;
        for (request, record) in updates {
            let record_evidence = record.evidence(*request, now);
            if evidence.len() + record_evidence.len() > MAX_DELTA_EVIDENCE {
                bounds.to = listed_to;
                break;
            }
            evidence.extend(record_evidence);
            listed_to = record.changed;
        }
        PoisonDelta { bounds, evidence }
    }

    /// Takes in what a start of the host at an address lists; gives the requests that
    /// are refused from now on.
    pub fn apply_delta(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        delta: &PoisonDelta,
        now: Instant,
    ) -> Vec<RequestKey> {
        self.progress
            .observe(address, incarnation, delta.bounds, now);
        self.merge(&delta.evidence, now)
    }
}
