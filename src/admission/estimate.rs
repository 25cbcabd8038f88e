//! How long a request would wait, and when a refused caller should come back.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::organisation::OrganisationState;
use super::{AdmissionRequest, AdmissionTable};

/// Margin on the estimated wait of a request that arrives.
///
/// Drain rates vary. A request let in on the bare estimate is given up later
/// about as often as not; one would see callers refused after they have
/// waited, instead of at once.
pub(super) const ARRIVAL_MARGIN: f64 = 1.5;

/// Margin on the estimated wait of a request that waits already: it is kept
/// unless it is hopeless even if things go twice as fast.
pub(super) const WAITING_MARGIN: f64 = 0.5;

/// Longest wait that is told from any longer one.
const MAX_WAIT: Duration = Duration::from_secs(1_000_000);

/// What an organisation's waits are estimated from.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEstimate {
    /// Slots that it can count on.
    slots: u32,
    /// Of these, the ones that are free.
    free: u32,
    /// Measured time between two ends.
    interval: Option<Duration>,
}

impl WaitEstimate {
    /// Time until a request with `ahead` others before it in its queue can
    /// start; `None` if the share never lets it.
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

    /// Whether a request with `ahead` others before it would end in time if
    /// its wait were `margin` times the estimate.
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
    /// What the waits of an organisation are estimated from at present;
    /// `active_shares` is the table's [`AdmissionTable::active_shares`].
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

    /// Sum of the shares of the organisations that run or wait.
    pub(super) fn active_shares(&self) -> u64 {
        self.organisations
            .values()
            .filter(|state| !state.is_idle())
            .map(|state| u64::from(state.limit.concurrent_requests))
            .sum()
    }

    /// Slots that the organisation can count on, at least one if it has any
    /// share: its part, in the long run.
    fn usable_slots(&self, state: &OrganisationState, active_shares: u64) -> u32 {
        let share = state.limit.concurrent_requests;
        self.fair_slots(state, active_shares).max(share.min(1))
    }

    /// Whole slots that are the organisation's: its share, or its weight's
    /// part of the host's capacity among those that ask, if that is less.
    ///
    /// Rounded down: rounded up, the parts could add up to more than the
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

    /// When a refused caller should come back: after the time in which what
    /// waits drains, with jitter.
    ///
    /// Callers that were refused together and come back together are refused
    /// together again; one would see refusals in waves. The jitter spreads
    /// them over half the time again.
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
