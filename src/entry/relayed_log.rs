//! What this host asks another one of the log, and takes from its answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::follow_cursor::FollowCursor;
use crate::entry::log_continuity::LogGap;
use crate::entry::log_copy::LogCopy;
use crate::forward::ServingTables;
use crate::ids::HostId;
use crate::peer::{FollowReply, FollowRequest, TargetChange};

/// Shortest time for which a question is kept.
const LEAST_HOLD: Duration = Duration::from_millis(20);
/// Pause between two lists of other zones' requests: 200 targets are 4 KB, and
/// their engines are used only for what the own zone cannot take.
const REMOTE_PAUSE: Duration = Duration::from_secs(1);
/// The log as other hosts pass it on.
#[derive(Debug)]
pub struct RelayedLog {
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    cursor: FollowCursor,
    /// When other zones' requests were last heard.
    remote_at: Option<Instant>,
}

impl RelayedLog {
    /// A log of which nothing was heard yet; what is heard goes into the copy.
    pub fn open(tables: Arc<ServingTables>, copy: Arc<LogCopy>) -> Self {
        Self {
            tables,
            copy,
            cursor: FollowCursor::default(),
            remote_at: None,
        }
    }

    /// What to ask a host, which may keep the question for so long.
    pub fn question(&self, host: &HostId, hold: Duration, now: Instant) -> FollowRequest {
        // A doubt ends on time, also where there is no news.
        let due = self.copy.next_due();
        let due = due.map(|due| due.saturating_duration_since(now));
        let hold = due.map_or(hold, |due| hold.min(due.max(LEAST_HOLD)));
        FollowRequest {
            hold,
            wants_remote: self.wants_remote(now),
            ..self
                .cursor
                .question(host, self.copy.configuration_version())
        }
    }

    /// Asks every host for all that it has from now on.
    pub(super) fn forget_places(&mut self) {
        self.cursor = FollowCursor::default();
    }

    fn wants_remote(&self, now: Instant) -> bool {
        self.remote_at.is_none_or(|at| now >= at + REMOTE_PAUSE)
    }

    /// Takes in what a host answers.
    pub fn take(&mut self, host: &HostId, mut answer: FollowReply, now: Instant) {
        if let Some(configuration) = &answer.configuration {
            self.copy.apply_configuration(configuration, "peer");
        }
        if !answer.remote.is_empty() {
            self.remote_at = Some(now);
            let remote = std::mem::take(&mut answer.remote);
            self.tables.fleet.lock().observe_remote(remote, now);
        }
        // A host that has lost the log may be behind this one.
        if !answer.fresh && self.copy.has_targets() {
            return;
        }
        let read = answer.log.and_then(|log| now.checked_sub(log.read));
        let gap = read.and_then(|read| self.copy.observe_told(read));
        if answer.whole {
            let listed = answer.targets.iter().map(|change| &*change.id);
            let first = answer.log.and_then(|log| now.checked_sub(log.first));
            let first = first.unwrap_or(now);
            self.copy
                .take_judged_list(listed, answer.read_to, gap, first);
        }
        for change in &answer.targets {
            self.take_change(change, gap, now);
        }
        self.copy.drop_due();
        self.copy.advance(answer.read_to);
        self.cursor.advance(host, answer.incarnation, answer.next);
    }

    fn take_change(&self, change: &TargetChange, gap: Option<LogGap>, now: Instant) {
        let TargetChange { id, offset, .. } = change;
        let is_new = !self.copy.knows(id);
        match &change.value {
            Some(value) => self.copy.observe_target(id, *offset, value),
            None => self.copy.remove_target(id, *offset, "gone at another host"),
        }
        // The other host may doubt what this one has no reason to: each judges by what it
        // has missed itself. One that hears of the target for the first time cannot.
        if let Some(dropped_at) = change.dropped_at {
            let unknown = LogGap {
                from: None,
                until: now,
            };
            let gap = match is_new {
                true => Some(unknown),
                false => gap.or_else(|| self.copy.last_gap()),
            };
            self.copy.take_drop(id, dropped_at, gap);
        }
    }
}
