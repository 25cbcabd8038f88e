//! Targets that hosts found ended, as entry hosts report them to each other.

use std::time::{Duration, Instant};

use crate::ids::TargetKey;

/// Age at which a report is no longer passed on.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Most targets that are reported. An end takes down three or four targets at a time, and
/// a report takes 13 bytes.
const MAX_REPORTS: usize = 32;
/// Difference of their moments up to which two reports of a target are the same one. A
/// report gets younger by the time that a message takes, at most 0.6 s, and must not be
/// renewed by the hosts that return it.
const SAME_REPORT: Duration = Duration::from_millis(600);
/// Time for which a target that other hosts found ended is avoided, from that moment.
/// Hosts learn of it within about half a second. Soon after, the log no longer lists the
/// target, or lists its next start.
pub(super) const ENDED_PAUSE: Duration = Duration::from_secs(1);

/// A target that a host found ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedTarget {
    /// Key of the target. The next start of the target has another one.
    pub key: TargetKey,
    /// Time since it was found ended.
    pub age: Duration,
}

/// The targets that this host or another one recently found ended.
#[derive(Debug, Default)]
pub(super) struct EndedTargets {
    /// Ordered by the time at which this host learned of them.
    reports: Vec<(TargetKey, Instant)>,
}

impl EndedTargets {
    /// Records that a target was found ended at `at`. Returns whether this was unknown.
    pub(super) fn observe(&mut self, key: TargetKey, at: Instant, now: Instant) -> bool {
        let is_known = |(known, known_at): &(TargetKey, Instant)| {
            *known == key && at <= *known_at + SAME_REPORT
        };
        if now >= at + REPORT_LIFETIME || self.reports.iter().any(is_known) {
            return false;
        }
        self.reports
            .retain(|(known, known_at)| *known != key && now < *known_at + REPORT_LIFETIME);
        if self.reports.len() >= MAX_REPORTS {
            self.reports.remove(0);
        }
        self.reports.push((key, at));
        true
    }

    /// Forgets a target that has responded since.
    pub(super) fn forget(&mut self, key: TargetKey) {
        self.reports.retain(|(known, _)| *known != key);
    }

    /// Returns the reports for other hosts.
    pub(super) fn reports(&self, now: Instant) -> Vec<EndedTarget> {
        let reports = self.reports.iter().map(|(key, at)| EndedTarget {
            key: *key,
            age: now.saturating_duration_since(*at),
        });
        let is_current = |report: &EndedTarget| report.age < REPORT_LIFETIME;
        reports.filter(is_current).collect()
    }
}
