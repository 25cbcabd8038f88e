//! Commands that record events of targets and runs.

use std::time::{Duration, Instant};

use crate::ids::TargetId;
use crate::reason::RetryReason;
use crate::target::wire::{CacheEvents, LoadReport};

use super::entry::MeasuredValue;
use super::load::ReportedLoad;
use super::{PlannedRoute, RouteTable};

impl RouteTable {
    /// Adds a run to the counts of the targets of its route.
    pub fn run_started(&mut self, route: &PlannedRoute) {
        self.started = self.started.wrapping_add(1);
        for stage in &route.stages {
            if let Some(entry) = self.targets.get_mut(&stage.target) {
                entry.runs += 1;
            }
        }
    }

    /// Removes a run from the counts of the targets that it used last.
    pub fn run_ended(&mut self, route: &PlannedRoute) {
        for stage in &route.stages {
            if let Some(entry) = self.targets.get_mut(&stage.target) {
                entry.runs = entry.runs.saturating_sub(1);
            }
        }
    }

    /// Moves a stage of `route` to another target and counts the run there. The caller
    /// must pass the changed route to `run_ended`.
    pub fn stage_moved(&mut self, route: &mut PlannedRoute, stage: usize, to: &TargetId) {
        let Some(planned) = route.stages.get_mut(stage) else {
            return;
        };
        if let Some(entry) = self.targets.get_mut(&planned.target) {
            entry.runs = entry.runs.saturating_sub(1);
        }
        if let Some(entry) = self.targets.get_mut(to) {
            entry.runs += 1;
        }
        planned.target = to.clone();
    }

    /// Counts a step or call that was sent.
    pub fn step_sent(&mut self, target: &TargetId, _now: Instant) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.steps += 1;
        }
    }

    /// Records the response to a step or call: `tokens` positions after `latency`, which
    /// includes the link.
    pub fn step_completed(
        &mut self,
        target: &TargetId,
        latency: Duration,
        tokens: u64,
        now: Instant,
    ) {
        let settings = &self.settings;
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        let share = self.load_sums.local_share();
        let steps_at_target = entry.total_steps(1.0, share, settings, now).max(1.0);
        entry.steps = entry.steps.saturating_sub(1);

        let link = entry.link_time(settings, now);
        let service_seconds = (latency.as_secs_f64() - link).max(MIN_STEP_SECONDS);
        // A step waits while there are more steps than slots; only the time in the slot
        // shows how fast the target is.
        let slot_seconds = service_seconds / (steps_at_target / entry.slots()).max(1.0);
        match tokens {
            0 | 1 => {
                let slow = slot_seconds > settings.ejection.slow_factor * entry.declared_step();
                entry
                    .step_seconds
                    .add(service_seconds, settings.rate_window, now);
                match slow {
                    true => entry.health.count_slow_response(&settings.ejection, now),
                    false => entry.health.count_response(&settings.ejection, now),
                }
            }
            _ => {
                let prior = entry.spec.tokens_per_second.recip();
                let sample = slot_seconds / tokens as f64;
                MeasuredValue::add(&mut entry.prefill_seconds, prior, sample, now);
                entry.health.count_response(&settings.ejection, now);
            }
        }
    }

    /// Records a step or call that failed to return a usable response.
    pub fn step_failed(&mut self, target: &TargetId, reason: RetryReason, now: Instant) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        entry.steps = entry.steps.saturating_sub(1);
        match reason {
            RetryReason::ConnectFailed
            | RetryReason::ResponseLost
            | RetryReason::SessionLost
            | RetryReason::ResponseMismatched => {
                entry.health.count_failure(&self.settings.ejection, now);
            }
            // The target is healthy and responded; its load and phase are reported
            // separately.
            RetryReason::TargetRefused | RetryReason::TargetLeaving => (),
        }
    }

    /// Removes a step or call that was abandoned without a response; it does not count
    /// against the target.
    pub fn step_abandoned(&mut self, target: &TargetId) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.steps = entry.steps.saturating_sub(1);
        }
    }

    /// Records a load report; a report older than the last one is dropped.
    pub fn observe_load(&mut self, target: &TargetId, report: &LoadReport, received: Instant) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        let local = f64::from(entry.steps);
        let load = ReportedLoad::after(entry.load, report, local, received);
        self.load_sums.remove(entry.load);
        entry.load = Some(load);
        self.load_sums.add(entry.load);
    }

    /// Records cache events.
    pub fn observe_cache_events(&mut self, target: &TargetId, events: &CacheEvents, now: Instant) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.prefixes.observe(events, now);
        }
    }

    /// Records a measured round trip without service time.
    pub fn observe_link(&mut self, target: &TargetId, round_trip: Duration, now: Instant) {
        let settings = &self.settings;
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        let prior = entry.assumed_link(settings);
        let sample = round_trip.as_secs_f64();
        MeasuredValue::add(&mut entry.link_seconds, prior, sample, now);
    }

    /// Sets whether a target is known to be leaving; such a target gets no new work,
    /// whatever is declared.
    pub fn set_leaving(&mut self, target: &TargetId, leaving: bool) {
        match leaving {
            true => self.leaving.insert(target.clone()),
            false => self.leaving.remove(target),
        };
    }
}

/// Lower bound of the seconds of a step, in case the link time is overestimated.
const MIN_STEP_SECONDS: f64 = 1e-5;
