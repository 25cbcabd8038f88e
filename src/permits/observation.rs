//! What one answer says of its target's limit.

use std::time::Instant;

use super::rate::RateLimit;

/// What an answer says of its target's limit, and between which moments the
/// target said it: answers overtake each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if the answer names none.
    pub rate: Option<RateLimit>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the head of the answer had come.
    pub received: Instant,
}

impl LimitObservation {
    /// Whether this one stands in the place of `known`, which says otherwise.
    ///
    /// Where the order of the two is open, the lower rate stands: an answer
    /// that was overtaken must not lift a limit.
    pub fn replaces(&self, known: &Self) -> bool {
        match self.is_lower_than(known) {
            true => self.received > known.sent,
            false => self.sent >= known.received,
        }
    }

    /// Takes in that the target said the same once more.
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
