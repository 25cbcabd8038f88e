//! Ejection of targets that fail or respond slowly.

use std::time::{Duration, Instant};

/// When targets are ejected and how they return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EjectionSettings {
    /// Consecutive failures that eject a target.
    pub consecutive_failures: u32,
    /// Consecutive responses slower than `slow_factor` that eject a target.
    pub consecutive_slow: u32,
    /// Ratio to the expected time from which on a response counts as slow.
    pub slow_factor: f64,
    /// Length of the first ejection; each further one is longer by this amount.
    pub base_duration: Duration,
    /// Upper bound of the length of an ejection.
    pub longest_duration: Duration,
    /// Fraction of a group that may be ejected at once, from 0 to 1.
    pub fraction_out: f64,
    /// Time over which the weight of a returned target grows back to 1.
    pub slow_start: Duration,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            consecutive_slow: 10,
            slow_factor: 10.0,
            base_duration: Duration::from_secs(2),
            longest_duration: Duration::from_secs(60),
            fraction_out: 0.5,
            slow_start: Duration::from_secs(5),
        }
    }
}

impl EjectionSettings {
    /// Returns how many targets of a group may be ejected at once; never all of them.
    ///
    /// Without a cap, a fault of the network or of this host ejects every target at once
    /// and every request is refused. With the cap the rest stays usable.
    pub fn allowed_out(&self, group: usize) -> usize {
        let allowed = (group as f64 * self.fraction_out) as usize;
        allowed.min(group.saturating_sub(1))
    }
}

/// Weight of a target at the moment of its return.
const WEIGHT_ON_RETURN: f64 = 0.1;

/// Recent failures and ejections of a target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetHealth {
    failures: u32,
    slow: u32,
    ejections: u32,
    ejected_at: Option<Instant>,
    returns_at: Option<Instant>,
}

impl TargetHealth {
    /// Counts a response that arrived within the expected time.
    pub fn count_response(&mut self, settings: &EjectionSettings, now: Instant) {
        self.failures = 0;
        self.slow = 0;
        if self.weight(settings, now) >= 1.0 {
            self.ejections = 0;
        }
    }

    /// Counts a response that took much longer than expected.
    pub fn count_slow_response(&mut self, settings: &EjectionSettings, now: Instant) {
        self.failures = 0;
        self.slow += 1;
        if self.slow >= settings.consecutive_slow {
            self.eject(settings, now);
        }
    }

    /// Counts a failure.
    pub fn count_failure(&mut self, settings: &EjectionSettings, now: Instant) {
        self.failures += 1;
        if self.failures >= settings.consecutive_failures {
            self.eject(settings, now);
        }
    }

    fn eject(&mut self, settings: &EjectionSettings, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        self.failures = 0;
        self.slow = 0;
        self.ejections = self.ejections.saturating_add(1);
        let length = settings.base_duration.saturating_mul(self.ejections);
        self.ejected_at = Some(now);
        self.returns_at = Some(now + length.min(settings.longest_duration));
    }

    /// Returns whether the target should be ejected, as far as the cap allows it.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.returns_at.is_some_and(|returns| now < returns)
    }

    /// Returns when the current or last ejection began.
    pub fn ejected_at(&self) -> Option<Instant> {
        self.ejected_at
    }

    /// Returns the share of its rate that the target may get, above 0 and up to 1.
    ///
    /// A target that returns cold is the least loaded of its group. At full weight it would
    /// get all new work of the group at once, fail again and be ejected at regular
    /// intervals. The growing weight lets it warm up.
    pub fn weight(&self, settings: &EjectionSettings, now: Instant) -> f64 {
        let Some(returned) = self.returns_at else {
            return 1.0;
        };
        let back = now.saturating_duration_since(returned);
        if back >= settings.slow_start {
            return 1.0;
        }
        let part = back.as_secs_f64() / settings.slow_start.as_secs_f64();
        part.max(WEIGHT_ON_RETURN)
    }
}
