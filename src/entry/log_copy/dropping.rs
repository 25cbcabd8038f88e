//! Entries of targets that the log drops: which targets left, and which may live.

use std::time::{Duration, Instant};

use super::{LogCopy, LogState};
use crate::entry::log_continuity::LogGap;
use crate::entry::suspect_targets::ConfirmedRemoval;
use crate::ids::{LogOffset, ZoneId};
use crate::peer::LogAges;

impl LogCopy {
    /// Sets the time without the log after which entries of targets may have lapsed.
    pub(in crate::entry) fn set_expiry(&self, expiry: Duration) {
        self.state.lock().continuity.set_expiry(expiry);
    }

    /// This host has read the log of targets; gives the gap that ended with it, if there was
    /// one and reads failed in it.
    pub(in crate::entry) fn observe_read(&self, read: Instant, was_lost: bool) -> Option<LogGap> {
        let mut state = self.state.lock();
        let gap = state.continuity.observe_read(read, was_lost)?;
        state.suspects.extend(gap);
        Some(gap)
    }

    /// The last gap in which this host did not have the log of targets.
    pub(in crate::entry) fn last_gap(&self) -> Option<LogGap> {
        self.state.lock().continuity.last_gap()
    }

    /// The same where another host of the zone tells what stood there.
    pub(in crate::entry) fn observe_relayed_read(&self, read: Instant) -> Option<LogGap> {
        let mut state = self.state.lock();
        let gap = state.continuity.observe_relayed_read(read)?;
        state.suspects.extend(gap);
        Some(gap)
    }

    /// Since when this host has had the log of targets.
    pub fn log_ages(&self, now: Instant) -> Option<LogAges> {
        self.state.lock().continuity.ages(now)
    }

    /// A host of a zone tells since when it has had the log of targets.
    pub fn observe_ages(&self, zone: &ZoneId, ages: LogAges, now: Instant) {
        self.state.lock().continuity.observe_ages(zone, ages, now);
        self.drop_confirmed();
    }

    /// Whether a target is known.
    pub(in crate::entry) fn knows(&self, id: &str) -> bool {
        self.state.lock().starts.newest(id).is_some()
    }

    /// The record at `offset` says that a target's entry was dropped. Read after a gap, it
    /// may have lapsed in it; without one, or where hosts of its zone had the log, it left.
    pub fn apply_drop(&self, id: &str, offset: LogOffset, gap: Option<LogGap>) {
        if self.state.lock().suspects.gap(id).is_some() {
            // Judged by the gap in which it was missed, not by this one.
            return;
        }
        let Some((gap, zone)) = gap.zip(self.zone_of(id)) else {
            return self.remove_target(id, offset, "entry dropped");
        };
        let mut state = self.state.lock();
        if state.continuity.had_log(&zone, gap) {
            drop(state);
            return self.remove_target(id, offset, "others had the log");
        }
        state.targets.mark_dropped(id, offset);
        state.suspects.suspect(id, zone.clone(), offset, gap);
        drop(state);
        log::info!(
            target_id:% = id, zone:% = zone, offset = offset;
            "target kept, its entry may have lapsed"
        );
    }

    /// A list of the log's newest records up to `read_to` lacks whatever is known besides
    /// `listed`.
    pub(in crate::entry) fn apply_list<'a, I>(
        &self,
        listed: I,
        read_to: LogOffset,
        gap: Option<LogGap>,
    ) where
        I: Iterator<Item = &'a str>,
    {
        let unlisted = self.state.lock().targets.unlisted(listed, read_to);
        for id in unlisted {
            self.apply_drop(&id, read_to.saturating_sub(1), gap);
        }
    }

    /// The same for the list of a host that has had the log since `first`, now and then at
    /// least. It lists what it doubts itself. What it has dropped since `first` it has
    /// judged; what was gone before it never knew, and is judged here.
    pub(in crate::entry) fn apply_peer_list<'a, I>(
        &self,
        listed: I,
        read_to: LogOffset,
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
                    self.apply_drop(&id, read_to.saturating_sub(1), gap);
                }
                _ => self.remove_target(&id, read_to.saturating_sub(1), "gone at another host"),
            }
        }
    }

    fn zone_of(&self, id: &str) -> Option<ZoneId> {
        let start = self.state.lock().starts.newest(id).cloned()?;
        let fleet = self.tables.fleet.lock();
        fleet.get(&start).map(|state| state.entry.zone.clone())
    }

    /// Drops the targets that are known by now not to have lapsed.
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

    /// Drops the targets that may have lapsed and did not come back in time.
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

    fn apply_removals(&self, removals: &[ConfirmedRemoval]) {
        for target in removals {
            self.remove_target(&target.id, target.offset, target.reason);
        }
        if !removals.is_empty() {
            self.notify_updates();
        }
    }

    /// When the next target that may have lapsed is to be dropped.
    pub fn next_due(&self) -> Option<Instant> {
        let state = self.state.lock();
        state.suspects.next_due(&state.continuity)
    }
}
