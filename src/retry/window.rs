//! A budget that limits the retries within a time window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Limits of a [`WindowBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowSettings {
    /// Length of the window.
    pub window: Duration,
    /// Retries that each request in the window earns, from 0 to 1.
    pub ratio: f64,
    /// Retries allowed in each window beyond the earned ones.
    pub slack: f64,
}

/// What a [`WindowBudget`] has counted in the last window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowUsage {
    /// Requests that earn retries.
    pub requests: usize,
    /// Retries that were spent.
    pub spent: usize,
    /// Retries that may be spent in all.
    pub allowed: f64,
}

/// Requests and retries of the last window.
///
/// The platform counts the retries of all hosts within any ten seconds. When each host
/// keeps to its share of that bound, the sum does too, without coordination. A token bucket
/// that only requests fill would allow less: after the loss of one engine it stays empty
/// for up to a minute.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl WindowBudget {
    /// Creates a budget without history.
    pub fn new() -> Self {
        Self {
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request, which earns `ratio` of a retry.
    pub fn count_request(&mut self, settings: WindowSettings, now: Instant) {
        remove_expired(&mut self.requests, settings.window, now);
        self.requests.push_back(now);
    }

    /// Spends one retry; returns `false` if the window has none left.
    #[must_use]
    pub fn spend(&mut self, settings: WindowSettings, now: Instant) -> bool {
        let usage = self.usage(settings, now);
        if usage.spent as f64 + 1.0 > usage.allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns what the window holds, without what has expired.
    pub fn usage(&mut self, settings: WindowSettings, now: Instant) -> WindowUsage {
        remove_expired(&mut self.requests, settings.window, now);
        remove_expired(&mut self.retries, settings.window, now);
        let earned = settings.ratio * self.requests.len() as f64;
        WindowUsage {
            requests: self.requests.len(),
            spent: self.retries.len(),
            allowed: earned + settings.slack,
        }
    }
}

impl Default for WindowBudget {
    fn default() -> Self {
        Self::new()
    }
}

fn remove_expired(moments: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while moments
        .front()
        .is_some_and(|at| now.saturating_duration_since(*at) >= window)
    {
        moments.pop_front();
    }
}
