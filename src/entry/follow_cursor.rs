//! How far this host has followed another one.

use crate::collections::FastMap;
use crate::ids::{HostId, IncarnationId};
use crate::peer::FollowRequest;

/// Stands for a start of another host than the one that is asked. A host that
/// has lost the log then knows that the asking one has targets, and need not
/// send all of its own.
const FOREIGN_INCARNATION: IncarnationId = IncarnationId::MAX;

/// Hosts whose numbers are kept; all are forgotten when there are more. A host
/// follows its speaker, or the host that reads the log.
const MOST_HOSTS: usize = 16;

/// Number of the next change of a start of a host.
#[derive(Debug, Clone, Copy)]
struct ChangePlace {
    incarnation: IncarnationId,
    from: u64,
}

/// Up to where the changes of each followed host were taken in.
///
/// Each host numbers the changes that it passes on by itself. Starts are told
/// apart by the clock, and hosts that start together can draw the same one; a
/// number of one host, asked of the other, then skips changes unseen, and a
/// target that left is used until the next whole list.
#[derive(Debug, Default)]
pub struct FollowCursor {
    places: FastMap<HostId, ChangePlace>,
}

impl FollowCursor {
    /// What to ask a host that may know of configurations after `version`.
    pub fn question(&self, host: &HostId, version: u64) -> FollowRequest {
        let (incarnation, from) = match self.places.get(host) {
            Some(place) => (place.incarnation, place.from),
            None if !self.places.is_empty() => (FOREIGN_INCARNATION, 0),
            None => (0, 0),
        };
        FollowRequest {
            configuration_version: version,
            incarnation,
            from,
            ..FollowRequest::default()
        }
    }

    /// The changes of a host were taken in up to number `next`, this one
    /// excluded.
    pub fn advance(&mut self, host: &HostId, incarnation: IncarnationId, next: u64) {
        if self.places.len() >= MOST_HOSTS && !self.places.contains_key(host) {
            self.places.clear();
        }
        let place = ChangePlace {
            incarnation,
            from: next,
        };
        self.places.insert(host.clone(), place);
    }
}
