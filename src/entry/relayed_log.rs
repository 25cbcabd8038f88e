//! The log as relayed by other hosts: requests to them and their replies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::follow_cursor::FollowCursor;
use crate::entry::log_continuity::LogGap;
use crate::entry::log_copy::LogCopy;
use crate::forward::ServingTables;
use crate::ids::HostId;
use crate::peer::{FollowReply, FollowRequest, TargetChange};

/// Minimum time for which a request is held.
const MIN_HOLD: Duration = Duration::from_millis(20);
/// Interval between two lists of the load in other zones: 200 targets are 4 KB, and their
/// engines are used only for what the own zone cannot take.
const REMOTE_INTERVAL: Duration = Duration::from_secs(1);
/// Applies the log as other hosts relay it to a [`LogCopy`].
#[derive(Debug)]
pub struct RelayedLog {
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    cursor: FollowCursor,
    /// When the load of other zones was last received.
    remote_at: Option<Instant>,
}

impl RelayedLog {
    /// Creates a relayed log that has received nothing yet and applies replies to `copy`.
    pub fn open(tables: Arc<ServingTables>, copy: Arc<LogCopy>) -> Self {
        Self {
            tables,
            copy,
            cursor: FollowCursor::default(),
            remote_at: None,
        }
    }

    /// Returns the request for a host, which may hold it for up to `hold`.
    pub fn request(&self, host: &HostId, hold: Duration, now: Instant) -> FollowRequest {
        // A suspicion has to end on time even if there are no updates.
        let due = self.copy.next_due();
        let due = due.map(|due| due.saturating_duration_since(now));
        let hold = due.map_or(hold, |due| hold.min(due.max(MIN_HOLD)));
        FollowRequest {
            hold,
            wants_remote: self.wants_remote(now),
            ..self.cursor.request(host, self.copy.configuration_version())
        }
    }

    /// Resets the positions, so that the next request to each host is for its full list.
    pub fn reset_positions(&mut self) {
        self.cursor = FollowCursor::default();
    }

    fn wants_remote(&self, now: Instant) -> bool {
        self.remote_at.is_none_or(|at| now >= at + REMOTE_INTERVAL)
    }

    /// Applies the reply of a host; returns whether it describes the present log, which
    /// the host may have lost, or from before a restore that this host knows of.
    pub fn apply(&mut self, host: &HostId, mut reply: FollowReply, now: Instant) -> bool {
        if let Some(configuration) = &reply.configuration {
            self.copy.apply_configuration(configuration, "peer");
        }
        if !reply.remote.is_empty() {
            self.remote_at = Some(now);
            let remote = std::mem::take(&mut reply.remote);
            self.tables.fleet.lock().observe_remote(remote, now);
        }
        if !reply.remote_demand.is_empty() {
            let demand = std::mem::take(&mut reply.remote_demand);
            self.tables.demand.lock().observe_remote(demand, now);
        }
        // A host that has lost the log may be behind this one.
        let era = reply.read_to.era;
        let is_current = reply.fresh && self.copy.observe_era(era, "peer") == era;
        if !is_current && self.copy.has_targets() {
            return false;
        }
        let read = reply.log.and_then(|log| now.checked_sub(log.read));
        let gap = read.and_then(|read| self.copy.observe_relayed_read(read));
        // As of that host's read: its next reads decide when a suspicion ends.
        let restored = self.copy.observe_restore(era, read.unwrap_or(now));
        let gap = restored.or(gap);
        if reply.whole {
            let listed = reply.targets.iter().map(|change| &*change.id);
            let first = reply.log.and_then(|log| now.checked_sub(log.first));
            let first = first.unwrap_or(now);
            self.copy.apply_peer_list(listed, reply.read_to, gap, first);
        }
        for change in &reply.targets {
            self.apply_change(change, gap, now);
        }
        self.copy.drop_due();
        self.copy.advance(reply.read_to);
        self.cursor.advance(host, reply.incarnation, reply.next);
        is_current
    }

    fn apply_change(&self, change: &TargetChange, gap: Option<LogGap>, now: Instant) {
        let id = &change.id;
        let is_new = !self.copy.knows(id);
        match &change.value {
            Some(value) => self.copy.observe_relayed(change, value, now),
            None => self.copy.remove_relayed(change),
        }
        // The other host may suspect a target that this host has no reason to suspect: each
        // decides by its own gaps. A host that learns of the target only now has no gap to
        // decide by.
        if let Some(dropped_at) = change.dropped_at {
            let unknown = LogGap {
                from: None,
                until: now,
            };
            let gap = match is_new {
                true => Some(unknown),
                false => gap.or_else(|| self.copy.last_gap()),
            };
            self.copy.apply_drop(id, dropped_at, gap);
        }
    }
}
