//! What is known of a request until its response is complete.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How far a request has come.
#[derive(Debug)]
pub(super) struct RequestProgress {
    /// Id that the caller gave the request.
    pub(super) id: String,
    arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout, once the request was
    /// read whole.
    deadline: OnceLock<Instant>,
    is_sent: AtomicBool,
}

impl RequestProgress {
    pub(super) fn new(id: &str, arrived: Instant) -> Self {
        Self {
            id: id.to_owned(),
            arrived,
            deadline: OnceLock::new(),
            is_sent: AtomicBool::new(false),
        }
    }

    /// Records that the request was read whole.
    pub(super) fn set_deadline(&self, deadline: Instant) {
        // A request is read once.
        let _ = self.deadline.set(deadline);
    }

    /// Records that the request may have reached a target.
    pub(super) fn set_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Returns whether the request may have reached a target.
    pub(super) fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// Returns the time since the head of the request was read.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived)
    }

    /// Returns the time that the request has left, if it was read whole.
    pub(super) fn left(&self, now: Instant) -> Option<Duration> {
        let deadline = self.deadline.get()?;
        Some(deadline.saturating_duration_since(now))
    }
}
