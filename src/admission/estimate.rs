//! Estimates of queueing delays, and Retry-After for refused requests.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::organisation::OrganisationState;
use super::{AdmissionRequest, AdmissionTable};

/// Margin on the estimated wait of an arriving request.
///
/// Drain rates vary: about half of the requests admitted on the bare estimate would be
/// refused later, after they have waited instead of at once.
pub(super) const ARRIVAL_MARGIN: f64 = 1.5;

/// Margin on the estimated wait of a request that already waits. It is kept unless it
/// would miss its deadline even at twice the estimated speed.
pub(super) const WAITING_MARGIN: f64 = 0.5;

/// Cap on estimated waits, so that the margin cannot overflow the duration.
const MAX_WAIT: Duration = Duration::from_secs(1_000_000);

/// Inputs for estimating an organisation's waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEstimate {
    /// Slots that the organisation can count on.
    slots: u32,
    /// How many of these slots are free.
    free: u32,
    /// Measured time between two ends.
    interval: Option<Duration>,
}

impl WaitEstimate {
    /// Returns the time until a request with `ahead` others before it in its queue can
    /// start, or `None` if the share never allows it.
    pub(super) fn wait(
        &self,
        state: &OrganisationState,
        ahead: usize,
        service_time: Duration,
    ) -> Option<Duration> {
        let by_rate = state.bucket.time_until(ahead as u64 + 1)?;
        if self.slots == 0 {
            return None;
        }
        let ends_needed = (ahead + 1).saturating_sub(self.free as usize);
        let ends_needed = u32::try_from(ends_needed).unwrap_or(u32::MAX);
        let interval = self.interval.unwrap_or(service_time / self.slots);
        Some(by_rate.max(interval.saturating_mul(ends_needed)))
    }

    /// Returns whether a request with `ahead` others before it would end in time if its
    /// wait were `margin` times the estimate.
    pub(super) fn is_reachable(
        &self,
        state: &OrganisationState,
        request: &AdmissionRequest,
        ahead: usize,
        margin: f64,
        now: Instant,
    ) -> bool {
        let remaining = request.deadline.saturating_duration_since(now);
        let wait = self.wait(state, ahead, request.service_time);
        let wait = wait.map(|wait| wait.min(MAX_WAIT).mul_f64(margin));
        wait.is_some_and(|wait| wait.saturating_add(request.service_time) <= remaining)
    }
}

impl AdmissionTable {
    /// Returns the present inputs for estimating an organisation's waits; `active_shares`
    /// is the result of [`AdmissionTable::active_shares`].
    pub(super) fn wait_estimate(
        &self,
        state: &OrganisationState,
        active_shares: u64,
        now: Instant,
    ) -> WaitEstimate {
        let slots = self.usable_slots(state, active_shares);
        WaitEstimate {
            slots,
            free: slots.saturating_sub(state.in_flight),
            interval: state.drain.interval(now),
        }
    }

    /// Returns the sum of the shares of organisations with running or waiting requests.
    pub(super) fn active_shares(&self) -> u64 {
        self.organisations
            .values()
            .filter(|state| !state.is_idle())
            .map(|state| u64::from(state.limit.concurrent_requests))
            .sum()
    }

    /// Returns the slots that the organisation can count on in the long run: its fair
    /// slots, but at least one if it has any share.
    fn usable_slots(&self, state: &OrganisationState, active_shares: u64) -> u32 {
        let share = state.limit.concurrent_requests;
        self.fair_slots(state, active_shares).max(share.min(1))
    }

    /// Returns the whole slots of an organisation: its share, or its weighted part of the
    /// host's capacity among the active organisations if that is less.
    ///
    /// The result is rounded down: rounded up, the parts could add up to more than the
    /// capacity, and small organisations would get more than their weight.
    pub(super) fn fair_slots(&self, state: &OrganisationState, active_shares: u64) -> u32 {
        let share = state.limit.concurrent_requests;
        let active_shares = match state.is_idle() {
            true => active_shares + u64::from(share),
            false => active_shares,
        };
        if active_shares <= u64::from(self.capacity) {
            return share;
        }
        let part = u64::from(self.capacity) * u64::from(share) / active_shares;
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Returns when a refused caller should come back: after the queue has drained, plus
    /// jitter.
    ///
    /// Callers that are refused together and come back together are refused together
    /// again, so refusals would come in waves. The jitter adds up to half of the wait.
    pub(super) fn retry_after(&mut self, request: &AdmissionRequest, now: Instant) -> Duration {
        let drain = self
            .organisations
            .get(&request.organisation)
            .and_then(|state| {
                self.wait_estimate(state, self.active_shares(), now).wait(
                    state,
                    state.queue.len(),
                    request.service_time,
                )
            });
        let settings = &self.settings;
        let wait = drain.unwrap_or(settings.max_retry_after);
        let wait = wait.clamp(settings.min_retry_after, settings.max_retry_after);
        wait + wait.mul_f64(settings.jitter * self.rng.random::<f64>())
    }
}
