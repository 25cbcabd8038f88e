//! Handling of entries that the log drops: which targets have left, and which may be
//! alive.

use std::time::{Duration, Instant};

use super::{LogCopy, LogState};
use crate::entry::log_continuity::LogGap;
use crate::entry::suspect_targets::ConfirmedRemoval;
use crate::ids::{HeartbeatNumber, LogEra, LogPosition, ZoneId};
use crate::peer::LogAges;

impl LogCopy {
    /// Sets the time without the log after which entries of targets may have expired.
    pub(in crate::entry) fn set_expiry(&self, expiry: Duration) {
        self.state.lock().continuity.set_expiry(expiry);
    }

    /// Records a read of the log of targets by this host; returns the gap that ended with
    /// it, if there was one and reads failed in it.
    pub(in crate::entry) fn observe_read(&self, read: Instant, was_lost: bool) -> Option<LogGap> {
        let mut state = self.state.lock();
        state.reads_targets = true;
        let gap = state.continuity.observe_read(read, was_lost)?;
        state.suspects.extend(gap);
        Some(gap)
    }

    /// Records a failed read of the log of targets by this host after a successful one.
    pub(in crate::entry) fn observe_failed_read(&self, now: Instant) {
        self.state.lock().continuity.observe_failed_read(now);
        self.end_own_reads();
    }

    /// Records that this host cannot read the log of targets, or no longer reads it itself.
    pub(in crate::entry) fn end_own_reads(&self) {
        self.state.lock().reads_targets = false;
    }

    /// Returns whether this host has to go on reading the log itself although another host
    /// relays it: a host that relays may lose the log before the suspect targets are due.
    pub fn needs_own_reads(&self) -> bool {
        let state = self.state.lock();
        state.reads_targets && !state.suspects.is_empty()
    }

    /// Records that the log of targets was in an era when it was read; returns the gap that
    /// ends with the read if the log was restored since this host last had it.
    pub(in crate::entry) fn observe_restore(&self, era: LogEra, read: Instant) -> Option<LogGap> {
        let mut state = self.state.lock();
        if state.targets.read_to().era >= era {
            return None;
        }
        state.starts.observe_restore();
        if state.targets.is_empty() {
            return None;
        }
        let gap = state.continuity.observe_restore(read)?;
        state.suspects.extend(gap);
        Some(gap)
    }

    /// Returns the last gap of this host in the log of targets.
    pub(in crate::entry) fn last_gap(&self) -> Option<LogGap> {
        self.state.lock().continuity.last_gap()
    }

    /// Records a read that another host of the zone relayed; returns the gap that ended
    /// with it, as for an own read.
    pub(in crate::entry) fn observe_relayed_read(&self, read: Instant) -> Option<LogGap> {
        let mut state = self.state.lock();
        let gap = state.continuity.observe_relayed_read(read)?;
        state.suspects.extend(gap);
        Some(gap)
    }

    /// Returns since when this host has read the log of targets without a gap.
    pub fn log_ages(&self, now: Instant) -> Option<LogAges> {
        self.state.lock().continuity.ages(now)
    }

    /// Records the report of a host in `zone` on its reads of the log of targets.
    pub fn observe_ages(&self, zone: &ZoneId, ages: LogAges, now: Instant) {
        self.state.lock().continuity.observe_ages(zone, ages, now);
        self.drop_confirmed();
    }

    /// Returns whether a target is known.
    pub(in crate::entry) fn knows(&self, id: &str) -> bool {
        self.state.lock().starts.newest(id).is_some()
    }

    /// Applies the record at `position`, by which a target's entry was dropped, as read
    /// without a gap. If the entry cannot have expired after its `lifetime`, the target
    /// left, and heartbeats that the log takes later were written before.
    pub(in crate::entry) fn apply_removal(
        &self,
        id: &str,
        position: LogPosition,
        lifetime: Duration,
        now: Instant,
    ) {
        let has_left = self.state.lock().starts.has_left(id, lifetime, now);
        match has_left {
            true => self.remove(id, position, HeartbeatNumber::MAX, "left"),
            false => self.apply_drop(id, position, None),
        }
    }

    /// Applies the record at `position`, by which a target's entry was dropped. After a gap
    /// the entry may have expired in it; without a gap, or if hosts of the target's zone
    /// had the log, the target left.
    pub fn apply_drop(&self, id: &str, position: LogPosition, gap: Option<LogGap>) {
        let mut state = self.state.lock();
        if state.suspects.gap(id).is_some() {
            // The gap in which the target was first missed decides, not this one. Followers
            // that do not suspect the target have to learn of the record.
            state.targets.mark_dropped(id, position);
            return;
        }
        drop(state);
        let Some((gap, zone)) = gap.zip(self.zone_of(id)) else {
            return self.remove_target(id, position, "entry dropped");
        };
        let mut state = self.state.lock();
        if state.continuity.had_log(&zone, gap) {
            drop(state);
            return self.remove_target(id, position, "others had the log");
        }
        if !state.targets.mark_dropped(id, position) {
            return;
        }
        state.suspects.suspect(id, zone.clone(), position, gap);
        drop(state);
        log::info!(
            target_id:% = id, zone:% = zone, offset = position.offset, era = position.era;
            "target kept, its entry may have lapsed"
        );
    }

    /// Drops the known targets that are missing from `listed`, the newest records of the
    /// log up to `read_to`.
    pub(in crate::entry) fn apply_list<'a, I>(
        &self,
        listed: I,
        read_to: LogPosition,
        gap: Option<LogGap>,
    ) where
        I: Iterator<Item = &'a str>,
    {
        let unlisted = self.state.lock().targets.unlisted(listed, read_to);
        for id in unlisted {
            self.apply_drop(&id, read_to.before(), gap);
        }
    }

    /// Drops the known targets that are missing from the list of a host that has read the
    /// log since `first`, with or without gaps. That host still lists its own suspect
    /// targets. It has confirmed the removal of what it dropped since `first`; it never
    /// knew what had left before `first`, so that this host decides.
    pub(in crate::entry) fn apply_peer_list<'a, I>(
        &self,
        listed: I,
        read_to: LogPosition,
        gap: Option<LogGap>,
        first: Instant,
    ) where
        I: Iterator<Item = &'a str>,
    {
        let unlisted = self.state.lock().targets.unlisted(listed, read_to);
        for id in unlisted {
            let suspected_gap = self.state.lock().suspects.gap(&id).or(gap);
            let from = suspected_gap.map(|gap| gap.from);
            match from {
                Some(from) if from.is_none_or(|from| from < first) => {
                    self.apply_drop(&id, read_to.before(), gap);
                }
                _ => self.remove_target(&id, read_to.before(), "gone at another host"),
            }
        }
    }

    fn zone_of(&self, id: &str) -> Option<ZoneId> {
        let start = self.state.lock().starts.newest(id).cloned()?;
        let fleet = self.tables.fleet.lock();
        fleet.get(&start).map(|state| state.entry.zone.clone())
    }

    /// Removes the suspect targets whose entries cannot have expired.
    fn drop_confirmed(&self) {
        let mut state = self.state.lock();
        let LogState {
            suspects,
            continuity,
            ..
        } = &mut *state;
        let removals = suspects.take_confirmed(continuity);
        drop(state);
        self.apply_removals(&removals);
    }

    /// Removes the suspect targets that did not return in time.
    pub(in crate::entry) fn drop_due(&self) {
        let mut state = self.state.lock();
        let LogState {
            suspects,
            continuity,
            ..
        } = &mut *state;
        let removals = suspects.take_due(continuity);
        drop(state);
        self.apply_removals(&removals);
    }

    /// Removes targets as of the last read: this host, or one that follows it, may have read
    /// records of them since it missed them.
    fn apply_removals(&self, removals: &[ConfirmedRemoval]) {
        let read_to = self.state.lock().targets.read_to();
        for target in removals {
            let position = target.position.max(read_to.before());
            self.remove_target(&target.id, position, target.reason);
        }
        if !removals.is_empty() {
            self.notify_updates();
        }
    }

    /// Returns when the next suspect target is due to be removed.
    pub fn next_due(&self) -> Option<Instant> {
        let state = self.state.lock();
        state.suspects.next_due(&state.continuity)
    }
}
