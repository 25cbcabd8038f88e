//! What one response shows about its target's limit.

use std::time::Instant;

use super::rate::RateLimit;

/// The limit that a response names, and the interval in which the target sent it:
/// responses can overtake each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if the response names none.
    pub rate: Option<RateLimit>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the head of the response was received.
    pub received: Instant,
}

impl LimitObservation {
    /// Returns whether this observation replaces `known`, which has another rate.
    ///
    /// Where the order of the two is unknown, the lower rate wins: a response that was
    /// overtaken must not lift a limit.
    pub fn replaces(&self, known: &Self) -> bool {
        match self.is_lower_than(known) {
            true => self.received > known.sent,
            false => self.sent >= known.received,
        }
    }

    /// Extends the observation by another one with the same rate.
    pub fn confirm(&mut self, other: &Self) {
        self.sent = self.sent.max(other.sent);
        self.received = self.received.max(other.received);
    }

    fn is_lower_than(&self, known: &Self) -> bool {
        match (self.rate, known.rate) {
            (Some(rate), Some(known)) => rate < known,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
