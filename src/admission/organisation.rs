//! State of one organisation: share, queue and counters.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::bucket::TokenBucket;
use super::drain::DrainRate;
use super::{AdmissionRequest, AdmissionSettings, ShareLimit};

/// Position in a queue: higher priority first, then order of arrival.
pub(super) type QueuePosition = (Reverse<u8>, u64);

/// State of one organisation.
#[derive(Debug, Clone)]
pub(super) struct OrganisationState {
    pub(super) limit: ShareLimit,
    pub(super) bucket: TokenBucket,
    pub(super) queue: BTreeMap<QueuePosition, AdmissionRequest>,
    pub(super) in_flight: u32,
    pub(super) drain: DrainRate,
    /// Virtual finish time of its last started request.
    pub(super) finish_tag: f64,
    /// Refusals for lack of capacity, by demand window.
    pub(super) refusals: RecentCount,
    /// Arrivals by demand window.
    pub(super) arrivals: RecentCount,
    /// Arrivals by windows of `RATE_WINDOWS` demand windows, for the wanted rate.
    pub(super) arrivals_long: RecentCount,
    /// Start of the present grace period without a share.
    pub(super) shareless_since: Option<Instant>,
    /// Whether it is no longer declared. Its state is dropped once nothing of it runs or
    /// waits.
    pub(super) is_removed: bool,
}

impl OrganisationState {
    /// Creates an organisation with nothing in flight.
    pub(super) fn new(limit: ShareLimit, settings: &AdmissionSettings, now: Instant) -> Self {
        Self {
            limit,
            bucket: TokenBucket::new(limit.requests_per_minute, settings.rate_burst, now),
            queue: BTreeMap::new(),
            in_flight: 0,
            drain: DrainRate::default(),
            finish_tag: 0.0,
            refusals: RecentCount::new(now),
            arrivals: RecentCount::new(now),
            arrivals_long: RecentCount::new(now),
            shareless_since: None,
            is_removed: false,
        }
    }

    /// Returns whether its own share allows one more start, as of the last refill.
    pub(super) fn may_start(&self) -> bool {
        self.in_flight < self.limit.concurrent_requests && self.bucket.has_token()
    }

    /// Returns whether its share allows no starts at all.
    pub(super) fn has_no_share(&self) -> bool {
        self.limit.concurrent_requests == 0 || self.limit.requests_per_minute == 0
    }

    /// Records an arrival without a share. Arrivals during a grace period share it; the
    /// first arrival after its end begins a new one.
    pub(super) fn record_shareless_arrival(&mut self, grace: Duration, now: Instant) {
        let is_waiting = self
            .shareless_since
            .is_some_and(|since| now < since + grace);
        if self.has_no_share() && !is_waiting {
            self.shareless_since = Some(now);
        }
    }

    /// Returns whether requests may wait although there is no share.
    ///
    /// Grants move between hosts with demand, and in between a host may hold none for the
    /// time of one or two reports. Refusing the waiting requests at that moment would
    /// turn callers away from capacity that they bought, while another host holds idle
    /// units.
    pub(super) fn awaits_share(&self, grace: Duration, now: Instant) -> bool {
        let is_waiting = self
            .shareless_since
            .is_some_and(|since| now < since + grace);
        self.has_no_share() && is_waiting && !self.is_removed
    }

    /// Returns its weight against the other organisations.
    pub(super) fn weight(&self) -> f64 {
        f64::from(self.limit.concurrent_requests.max(1))
    }

    /// Returns whether it has neither running nor waiting requests.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.queue.is_empty()
    }
}

/// Counter of events (refusals or arrivals) in the current and the previous window.
///
/// A host whose share is too small refuses at once, so nothing waits. If only waiting
/// requests counted as demand, no share would ever move to this host, and it would refuse
/// requests while others are idle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RecentCount {
    window_start: Instant,
    current: u32,
    previous: u32,
}

impl RecentCount {
    fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            current: 0,
            previous: 0,
        }
    }

    /// Counts an event.
    pub(super) fn count(&mut self, window: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= window {
            self.previous = match elapsed < window * 2 {
                true => self.current,
                false => 0,
            };
            self.current = 0;
            self.window_start = now;
        }
        self.current = self.current.saturating_add(1);
    }

    /// Returns the number of events in the last one to two windows.
    pub(super) fn recent(&self, window: Duration, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.window_start);
        match elapsed {
            elapsed if elapsed < window => self.current.saturating_add(self.previous),
            elapsed if elapsed < window * 2 => self.current,
            _ => 0,
        }
    }

    /// Returns the larger count of the last two windows.
    pub(super) fn peak(&self, window: Duration, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.window_start);
        match elapsed {
            elapsed if elapsed < window => self.current.max(self.previous),
            elapsed if elapsed < window * 2 => self.current,
            _ => 0,
        }
    }
}
