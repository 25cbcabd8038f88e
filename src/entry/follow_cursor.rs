//! How far this host has followed another one.

use crate::ids::{HostId, IncarnationId};
use crate::peer::FollowQuestion;

/// Stands for a start of another host than the one that is asked. A host that
/// has lost the log then knows that the asking one has targets, and need not
/// send all of its own.
const FOREIGN_INCARNATION: IncarnationId = IncarnationId::MAX;

/// Up to where the changes of one host were taken in.
///
/// Each host numbers the changes that it passes on by itself. Starts are told
/// apart by the clock, and hosts that start together can draw the same one; a
/// number of one host, asked of the other, then skips changes unseen, and a
/// target that left is used until the next whole list.
#[derive(Debug, Default)]
pub struct FollowCursor {
    host: Option<HostId>,
    incarnation: IncarnationId,
    /// Number of the next change of that host.
    from: u64,
}

impl FollowCursor {
    /// What to ask a host that may know of configurations after `version`.
    pub fn question(&self, host: &HostId, version: u64) -> FollowQuestion {
        let (incarnation, from) = match &self.host {
            Some(followed) if followed == host => (self.incarnation, self.from),
            Some(_) => (FOREIGN_INCARNATION, 0),
            None => (0, 0),
        };
        FollowQuestion {
            configuration_version: version,
            incarnation,
            from,
        }
    }

    /// The changes of a host were taken in up to number `next`, this one
    /// excluded.
    pub fn advance(&mut self, host: &HostId, incarnation: IncarnationId, next: u64) {
        self.host = Some(host.clone());
        self.incarnation = incarnation;
        self.from = next;
    }
}
