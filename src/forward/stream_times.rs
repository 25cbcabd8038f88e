//! Measures the pauses of a stream as its caller sees them.

use std::time::{Duration, Instant};

/// Times between the events of a stream, over all paths that it took.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamTimes {
    arrived: Instant,
    first: Option<Duration>,
    last: Instant,
    longest: Duration,
}

impl StreamTimes {
    /// Creates the times of a stream whose request arrived at `arrived`.
    pub(super) fn new(arrived: Instant) -> Self {
        Self {
            arrived,
            first: None,
            last: arrived,
            longest: Duration::ZERO,
        }
    }

    /// Records that events are passed on, and returns the time since the previous ones.
    pub(super) fn observe(&mut self, now: Instant) -> Option<Duration> {
        let pause = now.saturating_duration_since(self.last);
        self.last = now;
        match self.first {
            None => {
                self.first = Some(now.saturating_duration_since(self.arrived));
                None
            }
            Some(_) => {
                self.longest = self.longest.max(pause);
                Some(pause)
            }
        }
    }

    /// Returns the time since the last events, or since the request if there were none.
    pub(super) fn since_last(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }

    /// Returns whether an event was passed on.
    pub(super) fn has_begun(&self) -> bool {
        self.first.is_some()
    }

    /// Returns the time from the request to its first event; zero if there was none.
    pub(super) fn first(&self) -> Duration {
        self.first.unwrap_or_default()
    }

    /// Returns the longest pause between two events.
    pub(super) fn longest(&self) -> Duration {
        self.longest
    }
}
