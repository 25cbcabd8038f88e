//! Positions in the changes of the hosts that this host follows.

use crate::collections::FastMap;
use crate::ids::{HostId, IncarnationId};
use crate::peer::FollowRequest;

/// Incarnation that no host has. It shows a host without a current log that the
/// requesting host already knows targets, so that the whole list need not be sent.
const FOREIGN_INCARNATION: IncarnationId = IncarnationId::MAX;

/// Maximum number of hosts with a position; all positions are dropped when there are more.
/// A host follows its aggregator or the host that reads the log.
const MAX_HOSTS: usize = 16;

/// Number of the next change of one incarnation of a host.
#[derive(Debug, Clone, Copy)]
struct ChangePosition {
    incarnation: IncarnationId,
    from: u64,
}

/// The position up to which the changes of each followed host have been applied.
///
/// Each host numbers its changes independently. Incarnations come from the clock, so hosts
/// that start together can have the same one; without a position per host, the number of
/// one host would be sent to the other, changes would be skipped, and a target that left
/// would be used until the next full list.
#[derive(Debug, Default)]
pub struct FollowCursor {
    positions: FastMap<HostId, ChangePosition>,
}

impl FollowCursor {
    /// Returns the request for a host, where `version` is the configuration known so far.
    pub fn request(&self, host: &HostId, version: u64) -> FollowRequest {
        let (incarnation, from) = match self.positions.get(host) {
            Some(position) => (position.incarnation, position.from),
            None if !self.positions.is_empty() => (FOREIGN_INCARNATION, 0),
            None => (0, 0),
        };
        FollowRequest {
            configuration_version: version,
            incarnation,
            from,
            ..FollowRequest::default()
        }
    }

    /// Records that the changes of a host have been applied up to number `next`, exclusive.
    pub fn advance(&mut self, host: &HostId, incarnation: IncarnationId, next: u64) {
        if self.positions.len() >= MAX_HOSTS && !self.positions.contains_key(host) {
            self.positions.clear();
        }
        let position = ChangePosition {
            incarnation,
            from: next,
        };
        self.positions.insert(host.clone(), position);
    }
}
