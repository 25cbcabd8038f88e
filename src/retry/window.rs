//! How many retries may be sent within a window of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Limits of a [`WindowBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowSettings {
    /// Length of the window.
    pub window: Duration,
    /// Retries that each request of the window earns, from 0 to 1.
    pub ratio: f64,
    /// Retries allowed besides in each window.
    pub slack: f64,
}

/// Retries and requests of the last window.
///
/// The platform counts retries over all hosts within any ten seconds. When
/// each host keeps to its part of that bound, the sum does without a word
/// between them. A bucket that only requests fill would allow less: after one
/// lost engine it is empty for as long as a minute.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl WindowBudget {
    /// A budget without history.
    pub fn new() -> Self {
        Self {
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request, which earns a part of a retry.
    pub fn count_request(&mut self, settings: WindowSettings, now: Instant) {
        remove_expired(&mut self.requests, settings.window, now);
        self.requests.push_back(now);
    }

    /// Takes one retry; `false` if the window has none left.
    #[must_use]
    pub fn spend(&mut self, settings: WindowSettings, now: Instant) -> bool {
        remove_expired(&mut self.requests, settings.window, now);
        remove_expired(&mut self.retries, settings.window, now);
        let earned = settings.ratio * self.requests.len() as f64;
        if self.retries.len() as f64 + 1.0 > earned + settings.slack {
            return false;
        }
        self.retries.push_back(now);
        true
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
