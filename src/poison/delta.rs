//! Replication of the poison table to other hosts, as deltas in the views that hosts
//! exchange.

use std::net::SocketAddr;
use std::time::Instant;

use super::evidence::PoisonDelta;
use super::table::PoisonTable;
use crate::ids::{IncarnationId, SuspectKey};

/// Maximum number of evidence items in one delta. At 20 bytes each, four times a second in
/// both directions, a steady stream of updates costs 10 KB a second, under half of the
/// control budget of a host. A full table reaches a newly started host after about five
/// exchanges, 1.3 s.
const MAX_DELTA_EVIDENCE: usize = 64;

impl PoisonTable {
    /// Returns the evidence that changed since the version that the host at `address` has
    /// acknowledged, oldest changes first.
    pub fn delta_for(&self, address: SocketAddr, now: Instant) -> PoisonDelta {
        let mut bounds = self.progress.bounds_for(address, self.version);
        let updates = self.records.iter();
        let updates = updates.filter(|(_, record)| record.changed > bounds.from);
        let mut updates = updates.collect::<Vec<_>>();
        updates.sort_unstable_by_key(|(_, record)| record.changed);
        let mut evidence = Vec::new();
        let mut listed_to = bounds.from;
        for (suspect, record) in updates {
            let record_evidence = record.evidence(*suspect, now);
            if evidence.len() + record_evidence.len() > MAX_DELTA_EVIDENCE {
                bounds.to = listed_to;
                break;
            }
            evidence.extend(record_evidence);
            listed_to = record.changed;
        }
        PoisonDelta { bounds, evidence }
    }

    /// Applies a delta from the host at `address`, which runs as `incarnation`, and returns
    /// the requests and parts that are refused from now on.
    pub fn apply_delta(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        delta: &PoisonDelta,
        now: Instant,
    ) -> Vec<SuspectKey> {
        self.progress
            .observe(address, incarnation, delta.bounds, now);
        self.merge(&delta.evidence, now)
    }
}
