//! What is known of a request until its response is complete.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
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
    /// Attempts that may have reached a target, less those of which the target, or a gateway,
    /// stated that they did not run.
    may_have_run: AtomicU32,
}

impl RequestProgress {
    pub(super) fn new(id: &str, arrived: Instant) -> Self {
        Self {
            id: id.to_owned(),
            arrived,
            deadline: OnceLock::new(),
            may_have_run: AtomicU32::new(0),
        }
    }

    /// Records that the request was read whole.
    pub(super) fn set_deadline(&self, deadline: Instant) {
        // A request is read once.
        let _ = self.deadline.set(deadline);
    }

    /// Records that an attempt is sent. It counts until [`Self::observe_not_run`], also if it
    /// is given up.
    pub(super) fn observe_sent(&self) {
        self.may_have_run.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the statement that an attempt which was sent did not run and will not run.
    pub(super) fn observe_not_run(&self) {
        self.may_have_run.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether a target may have run the request, or may still run it.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed) > 0
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
