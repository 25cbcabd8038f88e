//! Decides which requests a stopping host admits, and when those that are left are ended.
//!
//! Load: callers whom the balancer still sends to a host that received SIGTERM, and those on
//! open connections. A target that stands still makes a request last until its own limit,
//! the earlier of its deadline and its route's timeout. A request whose limit lies beyond
//! the host's end may get no response of its target; it is refused as soon as its caller
//! can reach another host.

use std::time::{Duration, Instant};

/// Time in which the balancer takes a host out of rotation: it checks once a second and
/// needs two failures. Callers that it sends until then are still served.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);
/// Time before the end of the grace time at which the requests that are left get their
/// final response.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the grace time at which connections are closed: the process has to
/// end before it is killed.
const CLOSE_MARGIN: Duration = Duration::from_millis(150);
/// Time in which plain services usually respond: in about 30 ms, and nearly all within half a
/// second.
const USUAL_TIME: Duration = Duration::from_millis(700);
/// Time that a target needs to respond. Shorter than [`USUAL_TIME`], so that an admitted request
/// has time to find a target.
const RESPONSE_TIME: Duration = Duration::from_millis(500);

/// The times of a host that is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainWindow {
    began: Instant,
    answer_at: Instant,
    close_at: Instant,
}

impl DrainWindow {
    /// Opens the window of a host that received SIGTERM at `began` and is killed after
    /// `grace`.
    pub fn open(began: Instant, grace: Duration) -> Self {
        Self {
            began,
            answer_at: began + grace.saturating_sub(ANSWER_MARGIN),
            close_at: began + grace.saturating_sub(CLOSE_MARGIN),
        }
    }

    /// Returns the time since SIGTERM.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }

    /// Returns when the requests that are left get their final response.
    pub fn answer_at(&self) -> Instant {
        self.answer_at
    }

    /// Returns when connections are closed.
    pub fn close_at(&self) -> Instant {
        self.close_at
    }

    /// Returns whether a request is admitted. `deadline` is the earlier of the caller's
    /// deadline and the route's timeout.
    pub fn admits(&self, deadline: Instant, now: Instant) -> bool {
        let usual_end = now + USUAL_TIME;
        match () {
            () if now >= self.answer_at => false,
            () if deadline <= self.answer_at => true,
            // The next connection of the caller may lead to this host again.
            () => now < self.began + BALANCER_DELAY && usual_end < self.answer_at,
        }
    }

    /// Returns whether an admitted request may be sent to a target, for the first time or once
    /// more. `deadline` is the earlier of the caller's deadline and the route's timeout.
    ///
    /// A request that was never sent gets a refusal after which its caller may come back. One
    /// that is sent and gets no response in time may have run.
    pub fn may_send(&self, deadline: Instant, now: Instant) -> bool {
        match () {
            () if now >= self.answer_at => false,
            () if deadline <= self.answer_at => true,
            // The next connection of the caller may lead to this host again.
            () if now < self.began + BALANCER_DELAY => true,
            () => now + RESPONSE_TIME < self.answer_at,
        }
    }

    /// Returns whether the host may stop accepting connections.
    pub fn may_stop(&self, in_flight: usize, now: Instant) -> bool {
        let is_idle = in_flight == 0 && now >= self.began + BALANCER_DELAY;
        is_idle || now >= self.answer_at
    }
}
