//! Tracks which start of a target is the running one, and how far its heartbeats have come.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::fleet::TargetHeartbeat;
use crate::ids::{HeartbeatNumber, TargetId};

/// Consecutive records that a start which looks ended, or heartbeats that look outdated, need
/// before they count as current. One record may be the last of a target that ends.
const MIN_RECORDS: u32 = 3;
/// Time after which no write from before a known record can still take effect: a target that
/// leaves writes for up to three heartbeats after the last one that was read, and the log
/// executes a write whose response was lost some seconds late.
const LATE_WRITE_PERIOD: Duration = Duration::from_secs(15);
/// Maximum number of targets that are remembered after their entries were removed; the
/// oldest is forgotten first.
const MAX_REMOVED: usize = 2048;

/// Conclusion from a record on the start of its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartVerdict {
    /// The known start, or the first one.
    Current,
    /// A new start, which replaces this one.
    Replaces(TargetId),
    /// A start or heartbeat that looks outdated, written too late to be a late record. It
    /// replaces this start, if it is another one.
    Reinstated(Option<TargetId>),
    /// A late record of an earlier start, which has ended.
    Ended,
    /// A late record of the known start: a later heartbeat is known, or the target left.
    Outdated,
}

/// When a record was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordTime {
    /// Lower bound of when the log took the record; `None` if it is unknown.
    pub written_after: Option<Instant>,
    /// When the record was read.
    pub read: Instant,
}

#[derive(Debug)]
struct KnownStart {
    id: TargetId,
    started_ms: Option<u64>,
    /// The start that this one replaced.
    replaced: Option<TargetId>,
    /// When the first record of this start was read.
    known_since: Instant,
    /// Number of the last current heartbeat.
    newest: HeartbeatNumber,
    /// First heartbeat that is not outdated; the largest number if the target left.
    accepted_from: HeartbeatNumber,
    /// When the last current heartbeat was read.
    newest_read: Instant,
    draining: bool,
    /// Whether the target has an entry in the log.
    is_listed: bool,
    /// Lower bound of when the log took the last heartbeat.
    written_after: Option<Instant>,
    /// Records of an ended start since the last record of this start.
    ended_records: u32,
    /// Outdated heartbeats in ascending order since the last current one, and the last of
    /// them.
    outdated_records: u32,
    last_outdated: HeartbeatNumber,
}

/// The newest start of each target, by the platform's id of the target.
///
/// A target may restart under its id without any state. A late record of the previous start
/// would restore layers that no engine holds, and every request over them would be refused
/// until the next heartbeat. A late heartbeat of the running start would undo its report
/// that it is draining, or bring it back after it left.
#[derive(Debug, Default)]
pub struct TargetStarts {
    known: FastMap<TargetId, KnownStart>,
    /// Targets in the order in which their entries were removed.
    removed: VecDeque<TargetId>,
}

impl RecordTime {
    /// Returns whether the log took the record too long after `moment` for a write from
    /// before it.
    fn is_new_since(&self, moment: Instant) -> bool {
        self.written_after
            .is_some_and(|written| written >= moment + LATE_WRITE_PERIOD)
    }
}

impl KnownStart {
    fn new(heartbeat: &TargetHeartbeat, time: RecordTime) -> Self {
        Self {
            id: heartbeat.entry.id.clone(),
            started_ms: heartbeat.entry.started_ms,
            replaced: None,
            known_since: time.read,
            newest: heartbeat.number,
            accepted_from: heartbeat.number,
            newest_read: time.read,
            draining: heartbeat.entry.draining,
            is_listed: true,
            written_after: time.written_after,
            ended_records: 0,
            outdated_records: 0,
            last_outdated: 0,
        }
    }

    fn is_outdated(&self, heartbeat: &TargetHeartbeat) -> bool {
        let undoes_draining = self.draining && !heartbeat.entry.draining;
        match heartbeat.number {
            number if number == self.accepted_from => undoes_draining,
            number => number < self.accepted_from,
        }
    }

    /// Counts an outdated heartbeat, and returns whether it is current all the same: the target
    /// was taken to have left and goes on, or it restarted without a start time and numbers its
    /// heartbeats anew.
    fn accepts_outdated(&mut self, number: HeartbeatNumber, time: RecordTime) -> bool {
        if self.started_ms.is_some() && number <= self.newest {
            return false;
        }
        self.outdated_records = match number >= self.last_outdated {
            true => self.outdated_records + 1,
            false => 1,
        };
        self.last_outdated = number;
        self.outdated_records >= MIN_RECORDS && time.is_new_since(self.newest_read)
    }

    /// Returns whether another start looks like one that had ended before this one began.
    fn is_preceded_by(&self, start: &KnownStart) -> bool {
        start.started_ms < self.started_ms || self.replaced.as_ref() == Some(&start.id)
    }

    /// Counts a record of a start that looks ended, and returns whether it is the running one
    /// all the same: the clock of the target was set back before it restarted.
    fn accepts_ended(&mut self, time: RecordTime) -> bool {
        self.ended_records += 1;
        self.ended_records >= MIN_RECORDS && time.is_new_since(self.known_since)
    }

    /// Applies a heartbeat of this start, with which `next` begins.
    fn observe_heartbeat(
        &mut self,
        next: KnownStart,
        heartbeat: &TargetHeartbeat,
        time: RecordTime,
    ) -> StartVerdict {
        let is_outdated = self.is_outdated(heartbeat);
        if is_outdated && !self.accepts_outdated(heartbeat.number, time) {
            return StartVerdict::Outdated;
        }
        *self = KnownStart {
            replaced: self.replaced.take(),
            known_since: self.known_since,
            ..next
        };
        match is_outdated {
            true => StartVerdict::Reinstated(None),
            false => StartVerdict::Current,
        }
    }

    /// Applies a record of another start.
    fn observe_start(&mut self, start: KnownStart, time: RecordTime) -> StartVerdict {
        let is_preceded = self.is_preceded_by(&start);
        if is_preceded && !self.accepts_ended(time) {
            return StartVerdict::Ended;
        }
        let before = std::mem::replace(self, start);
        self.replaced = Some(before.id.clone());
        let replaced = Some(before.id).filter(|_| before.is_listed);
        match (is_preceded, replaced) {
            (true, replaced) => StartVerdict::Reinstated(replaced),
            (false, Some(replaced)) => StartVerdict::Replaces(replaced),
            (false, None) => StartVerdict::Current,
        }
    }
}

impl TargetStarts {
    /// Applies a record; `name` is the platform's id of its target.
    pub fn observe(
        &mut self,
        name: &str,
        heartbeat: &TargetHeartbeat,
        time: RecordTime,
    ) -> StartVerdict {
        let start = KnownStart::new(heartbeat, time);
        let Some(known) = self.known.get_mut(name) else {
            self.known.insert(name.into(), start);
            return StartVerdict::Current;
        };
        match known.id == start.id {
            true => known.observe_heartbeat(start, heartbeat, time),
            false => known.observe_start(start, time),
        }
    }

    /// Records that the log was restored from an older copy: it no longer has the last
    /// heartbeats, and lists outdated ones of targets that left.
    pub fn observe_restore(&mut self) {
        for known in self.known.values_mut() {
            known.written_after = None;
            known.outdated_records = 0;
            known.ended_records = 0;
        }
    }

    /// Returns whether a target whose entry was removed by `now` has left: the entry was
    /// not old enough to expire, which it does after `lifetime`.
    pub fn has_left(&self, name: &str, lifetime: Duration, now: Instant) -> bool {
        let known = self.known.get(name).filter(|known| known.is_listed);
        let written_after = known.and_then(|known| known.written_after);
        written_after.is_some_and(|moment| now < moment + lifetime)
    }

    /// Returns the newest start of a target.
    pub fn newest(&self, name: &str) -> Option<&TargetId> {
        let known = self.known.get(name).filter(|known| known.is_listed);
        known.map(|known| &known.id)
    }

    /// Returns the first heartbeat by which a target can return after its entry expired.
    pub fn first_return(&self, name: &str) -> HeartbeatNumber {
        let known = self.known.get(name);
        known.map_or(0, |known| known.accepted_from.saturating_add(1))
    }

    /// Records that the entry of a target was removed, which can return by a heartbeat from
    /// `first_return` on; returns its newest start.
    pub fn remove(&mut self, name: &str, first_return: HeartbeatNumber) -> Option<TargetId> {
        let known = self.known.get_mut(name)?;
        known.accepted_from = known.accepted_from.max(first_return);
        if !std::mem::take(&mut known.is_listed) {
            return None;
        }
        let id = known.id.clone();
        self.removed.push_back(name.into());
        if self.removed.len() > MAX_REMOVED
            && let Some(oldest) = self.removed.pop_front()
            && self.newest(&oldest).is_none()
        {
            self.known.remove(&oldest);
        }
        Some(id)
    }

    /// Forgets which start of a target is the running one and how far its heartbeats have
    /// come, so that its next record is current.
    pub fn reinstate(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.started_ms = None;
            known.replaced = None;
            known.newest = 0;
            known.accepted_from = 0;
            known.draining = false;
        }
    }
}
