//! Entries of targets that the log drops: which targets left, and which may live.

use std::time::{Duration, Instant};

use super::{CopiedLog, LogCopy};
use crate::entry::doubted::SettledTarget;
use crate::entry::log_continuity::LogGap;
use crate::ids::{LogOffset, ZoneId};
use crate::peer::LogAges;

impl LogCopy {
    /// Sets the time without the log after which entries of targets may have lapsed.
    pub(in crate::entry) fn set_lapse(&self, lapse: Duration) {
        self.kept.lock().continuity.set_lapse(lapse);
    }

    /// This host has read the log of targets; gives the gap that ended with it, if there was
    /// one and reads failed in it.
    pub(in crate::entry) fn observe_read(&self, read: Instant, was_lost: bool) -> Option<LogGap> {
        let mut kept = self.kept.lock();
        let gap = kept.continuity.observe_read(read, was_lost)?;
        kept.doubted.extend(gap);
        Some(gap)
    }

    /// The last gap in which this host did not have the log of targets.
    pub(in crate::entry) fn last_gap(&self) -> Option<LogGap> {
        self.kept.lock().continuity.last_gap()
    }

    /// The same where another host of the zone tells what stood there.
    pub(in crate::entry) fn observe_told(&self, read: Instant) -> Option<LogGap> {
        let mut kept = self.kept.lock();
        let gap = kept.continuity.observe_told(read)?;
        kept.doubted.extend(gap);
        Some(gap)
    }

    /// Since when this host has had the log of targets.
    pub fn log_ages(&self, now: Instant) -> Option<LogAges> {
        self.kept.lock().continuity.ages(now)
    }

    /// A host of a zone tells since when it has had the log of targets.
    pub fn observe_word(&self, zone: &ZoneId, ages: LogAges, now: Instant) {
        self.kept.lock().continuity.observe_word(zone, ages, now);
        self.drop_disproved();
    }

    /// Whether a target is known.
    pub(in crate::entry) fn knows(&self, id: &str) -> bool {
        self.kept.lock().starts.newest(id).is_some()
    }

    /// The record at `offset` says that a target's entry was dropped. Read after a gap, it
    /// may have lapsed in it; without one, or where hosts of its zone had the log, it left.
    pub fn take_drop(&self, id: &str, offset: LogOffset, gap: Option<LogGap>) {
        if self.kept.lock().doubted.gap(id).is_some() {
            // Judged by the gap in which it was missed, not by this one.
            return;
        }
        let Some((gap, zone)) = gap.zip(self.zone_of(id)) else {
            return self.remove_target(id, offset, "entry dropped");
        };
        let mut kept = self.kept.lock();
        if kept.continuity.had_log(&zone, gap) {
            drop(kept);
            return self.remove_target(id, offset, "others had the log");
        }
        kept.targets.mark_dropped(id, offset);
        kept.doubted.doubt(id, zone.clone(), offset, gap);
        drop(kept);
        log::info!(
            target_id:% = id, zone:% = zone, offset = offset;
            "target kept, its entry may have lapsed"
        );
    }

    /// A list of the log's newest records up to `read_to` lacks whatever is known besides
    /// `listed`.
    pub(in crate::entry) fn take_list<'a, I>(
        &self,
        listed: I,
        read_to: LogOffset,
        gap: Option<LogGap>,
    ) where
        I: Iterator<Item = &'a str>,
    {
        let unlisted = self.kept.lock().targets.unlisted(listed, read_to);
        for id in unlisted {
            self.take_drop(&id, read_to.saturating_sub(1), gap);
        }
    }

    /// The same for the list of a host that has had the log since `first`, now and then at
    /// least. It lists what it doubts itself. What it has dropped since `first` it has
    /// judged; what was gone before it never knew, and is judged here.
    pub(in crate::entry) fn take_judged_list<'a, I>(
        &self,
        listed: I,
        read_to: LogOffset,
        gap: Option<LogGap>,
        first: Instant,
    ) where
        I: Iterator<Item = &'a str>,
    {
        let unlisted = self.kept.lock().targets.unlisted(listed, read_to);
        for id in unlisted {
            let missed = self.kept.lock().doubted.gap(&id).or(gap);
            let from = missed.map(|gap| gap.from);
            match from {
                Some(from) if from.is_none_or(|from| from < first) => {
                    self.take_drop(&id, read_to.saturating_sub(1), gap);
                }
                _ => self.remove_target(&id, read_to.saturating_sub(1), "gone at another host"),
            }
        }
    }

    fn zone_of(&self, id: &str) -> Option<ZoneId> {
        let start = self.kept.lock().starts.newest(id).cloned()?;
        let fleet = self.tables.fleet.lock();
        fleet.get(&start).map(|state| state.entry.zone.clone())
    }

    /// Drops the targets that are known by now not to have lapsed.
    fn drop_disproved(&self) {
        let mut kept = self.kept.lock();
        let CopiedLog {
            doubted,
            continuity,
            ..
        } = &mut *kept;
        let settled = doubted.take_disproved(continuity);
        drop(kept);
        self.drop_settled(&settled);
    }

    /// Drops the targets that may have lapsed and did not come back in time.
    pub(in crate::entry) fn drop_due(&self) {
        let mut kept = self.kept.lock();
        let CopiedLog {
            doubted,
            continuity,
            ..
        } = &mut *kept;
        let settled = doubted.take_due(continuity);
        drop(kept);
        self.drop_settled(&settled);
    }

    fn drop_settled(&self, settled: &[SettledTarget]) {
        for target in settled {
            self.remove_target(&target.id, target.offset, target.reason);
        }
        if !settled.is_empty() {
            self.tell_news();
        }
    }

    /// When the next target that may have lapsed is to be dropped.
    pub fn next_due(&self) -> Option<Instant> {
        let kept = self.kept.lock();
        kept.doubted.next_due(&kept.continuity)
    }
}
