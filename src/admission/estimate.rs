//! How long a request would wait, and when a refused caller should come back.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::organisation::OrganisationState;
use super::{AdmissionRequest, AdmissionTable};

impl AdmissionTable {
    /// Time until a request with `ahead` others before it in its queue can
    /// start; `None` if the share never lets it.
    pub(super) fn estimated_wait(
        &self,
        state: &OrganisationState,
        ahead: usize,
        service_time: Duration,
    ) -> Option<Duration> {
        let by_rate = state.bucket.time_until(ahead as u64 + 1)?;
        let slots = self.slots_for(state);
        if slots == 0 {
            return None;
        }
        let free = slots.saturating_sub(state.in_flight) as usize;
        let ends_needed = (ahead + 1).saturating_sub(free);
        let interval = state.drain.interval().unwrap_or(service_time / slots);
        let ends = u32::try_from(ends_needed).unwrap_or(u32::MAX);
        Some(by_rate.max(interval.saturating_mul(ends)))
    }

    /// Slots that the organisation can count on: its share, or its weight's
    /// part of the host's capacity among those that ask, if that is less.
    fn slots_for(&self, state: &OrganisationState) -> u32 {
        let share = state.limit.concurrent_requests;
        let asking: u64 = self
            .organisations
            .values()
            .filter(|other| !other.is_idle())
            .map(|other| u64::from(other.limit.concurrent_requests))
            .sum();
        let asking = match state.is_idle() {
            true => asking + u64::from(share),
            false => asking,
        };
        if share == 0 || asking <= u64::from(self.capacity) {
            return share;
        }
        let part = u64::from(self.capacity) * u64::from(share) / asking;
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }

    /// Whether a request with `ahead` others before it would end in time.
    pub(super) fn is_reachable(
        &self,
        state: &OrganisationState,
        request: &AdmissionRequest,
        ahead: usize,
        now: Instant,
    ) -> bool {
        let left = request.deadline.saturating_duration_since(now);
        match self.estimated_wait(state, ahead, request.service_time) {
            Some(wait) => wait.saturating_add(request.service_time) <= left,
            None => false,
        }
    }

    /// When a refused caller should come back: after the time in which what
    /// waits drains, with jitter.
    ///
    /// Callers that were refused together and come back together are refused
    /// together again; one would see refusals in waves. The jitter spreads
    /// them over half the time again.
    pub(super) fn retry_after(&mut self, state_wait: Option<Duration>) -> Duration {
        let settings = &self.settings;
        let wait = state_wait.unwrap_or(settings.longest_retry_after);
        let wait = wait.clamp(settings.shortest_retry_after, settings.longest_retry_after);
        wait + wait.mul_f64(settings.jitter * self.rng.random::<f64>())
    }
}
