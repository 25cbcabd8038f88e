//! A token bucket for the rate of starts.

use std::time::{Duration, Instant};

/// Nanoseconds in a minute.
const MINUTE_NANOS: u128 = 60_000_000_000;

/// A token bucket in whole numbers, so that long uptimes lose nothing to
/// rounding: a token is [`MINUTE_NANOS`] parts, and each nanosecond adds `rate` parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TokenBucket {
    rate: u32,
    burst: Duration,
    parts: u128,
    last_refill: Instant,
}

impl TokenBucket {
    /// A full bucket that refills with `rate` tokens a minute.
    pub(super) fn new(rate: u32, burst: Duration, now: Instant) -> Self {
        let mut bucket = Self {
            rate,
            burst,
            parts: 0,
            last_refill: now,
        };
        bucket.parts = bucket.capacity();
        bucket
    }

    /// Room for `burst` seconds of tokens, and for one token at least if any
    /// is ever earned.
    fn capacity(&self) -> u128 {
        match self.rate {
            0 => 0,
            rate => (u128::from(rate) * self.burst.as_nanos()).max(MINUTE_NANOS),
        }
    }

    /// Changes the rate; what was saved is kept as far as there is room.
    pub(super) fn set_rate(&mut self, rate: u32, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.parts = self.parts.min(self.capacity());
    }

    /// Adds what was earned since the last refill.
    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        let earned = u128::from(self.rate) * elapsed.as_nanos();
        self.parts = (self.parts + earned).min(self.capacity());
    }

    /// Whether a token is there, as of the last refill.
    pub(super) fn has_token(&self) -> bool {
        self.parts >= MINUTE_NANOS
    }

    /// Takes a token, which must be there.
    pub(super) fn take(&mut self) {
        debug_assert!(self.has_token());
        self.parts = self.parts.saturating_sub(MINUTE_NANOS);
    }

    /// Time after the last refill until `tokens` are there; `None` if never.
    pub(super) fn time_until(&self, tokens: u64) -> Option<Duration> {
        let needed = (u128::from(tokens) * MINUTE_NANOS).saturating_sub(self.parts);
        match self.rate {
            _ if needed == 0 => Some(Duration::ZERO),
            0 => None,
            rate => {
                let nanos = needed.div_ceil(u128::from(rate));
                u64::try_from(nanos).ok().map(Duration::from_nanos)
            }
        }
    }

    /// When the bucket was last refilled.
    pub(super) fn last_refill(&self) -> Instant {
        self.last_refill
    }
}
