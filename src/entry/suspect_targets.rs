//! Targets that the log no longer lists but that may be alive.

use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::entry::log_continuity::{LogContinuity, LogGap};
use crate::ids::{LogPosition, TargetId, ZoneId};

/// Time within which suspect targets have to return. If their targets are alive, entries
/// that expired while the log could not be written return within about two seconds of its
/// return. With a longer time, targets that left would get requests when the host counts as
/// healthy again, three seconds after the return.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

#[derive(Debug)]
struct SuspectTarget {
    zone: ZoneId,
    /// Position at which the log dropped the target.
    position: LogPosition,
    /// Gap in which the target was first missed, extended by later gaps.
    gap: LogGap,
}

impl SuspectTarget {
    /// Returns when the target is confirmed as removed. The time restarts with each break
    /// of the log, as no target can return during one.
    fn due(&self, continuity: &LogContinuity) -> Instant {
        let run_since = continuity.run_since();
        run_since.map_or(self.gap.until, |since| since.max(self.gap.until)) + RETURN_GRACE
    }
}

/// A suspect target that is confirmed as removed.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfirmedRemoval {
    /// The platform's id of the target.
    pub id: TargetId,
    /// Position at which the log dropped the target.
    pub position: LogPosition,
    /// Why it counts as removed.
    pub reason: &'static str,
}

/// Targets whose entries may have expired only because no target could write.
///
/// Without them, every target would be dropped when the log returns after an outage, and
/// nothing served until the next heartbeats arrive.
#[derive(Debug, Default)]
pub struct SuspectTargets {
    targets: FastMap<TargetId, SuspectTarget>,
}

impl SuspectTargets {
    /// Adds a target of a zone that the log dropped at `position`, as read after `gap`.
    pub fn suspect(&mut self, id: &str, zone: ZoneId, position: LogPosition, gap: LogGap) {
        let target = SuspectTarget {
            zone,
            position,
            gap,
        };
        self.targets.entry(TargetId::from(id)).or_insert(target);
    }

    /// Returns the gap in which a suspect target was missed; `None` if the target is not
    /// suspect.
    pub fn gap(&self, id: &str) -> Option<LogGap> {
        self.targets.get(id).map(|target| target.gap)
    }

    /// Returns whether no target is suspect.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Removes a target that has returned or is known to have left.
    pub fn forget(&mut self, id: &str) {
        self.targets.remove(id);
    }

    /// Extends the gaps of all targets when the log was lost again for long enough that
    /// entries can expire, or was restored.
    pub fn extend(&mut self, gap: LogGap) {
        for target in self.targets.values_mut() {
            target.gap.until = gap.until;
            target.gap.from = target.gap.from.filter(|_| gap.from.is_some());
        }
    }

    /// Returns when the next suspicion ends by itself.
    pub fn next_due(&self, continuity: &LogContinuity) -> Option<Instant> {
        let dues = self.targets.values().map(|target| target.due(continuity));
        dues.min()
    }

    /// Removes and returns the targets whose entries cannot have expired, because other
    /// hosts had the log throughout the gap.
    pub fn take_confirmed(&mut self, continuity: &LogContinuity) -> Vec<ConfirmedRemoval> {
        self.extract(
            |target| continuity.had_log(&target.zone, target.gap),
            "others had the log",
        )
    }

    /// Removes and returns the targets that had not returned when they were due, as of the
    /// last read.
    ///
    /// An earlier read does not show a target that returns late: a host that gets the log
    /// relayed learns of it up to a second later, and no target can return while the log
    /// is lost again.
    pub fn take_due(&mut self, continuity: &LogContinuity) -> Vec<ConfirmedRemoval> {
        let Some(read) = continuity.last_read() else {
            return Vec::new();
        };
        self.extract(|target| read >= target.due(continuity), "missing")
    }

    /// Removes and returns the targets that `is_confirmed` accepts, in the order of their ids.
    fn extract<F>(&mut self, is_confirmed: F, reason: &'static str) -> Vec<ConfirmedRemoval>
    where
        F: Fn(&SuspectTarget) -> bool,
    {
        let removals = self.targets.extract_if(|_, target| is_confirmed(target));
        let removals = removals.map(|(id, target)| ConfirmedRemoval {
            id,
            position: target.position,
            reason,
        });
        let mut removals = removals.collect::<Vec<_>>();
        removals.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        removals
    }
}
