//! Token bucket that limits the rate of starts.

use std::time::{Duration, Instant};

/// Nanoseconds per minute.
const MINUTE_NANOS: u128 = 60_000_000_000;

/// Token bucket in integer arithmetic, so that rounding errors do not accumulate over
/// long uptimes. A token is [`MINUTE_NANOS`] parts, and each nanosecond adds `rate`
/// parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TokenBucket {
    rate: u32,
    burst: Duration,
    parts: u128,
    last_refill: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per minute.
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

    /// Returns the capacity in parts: `burst` seconds of tokens, but at least one token
    /// unless the rate is zero.
    fn capacity(&self) -> u128 {
        match self.rate {
            0 => 0,
            rate => (u128::from(rate) * self.burst.as_nanos()).max(MINUTE_NANOS),
        }
    }

    /// Changes the rate. Saved tokens are kept up to the new capacity.
    pub(super) fn set_rate(&mut self, rate: u32, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.parts = self.parts.min(self.capacity());
    }

    /// Adds the tokens earned since the last refill.
    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        let earned = u128::from(self.rate) * elapsed.as_nanos();
        self.parts = (self.parts + earned).min(self.capacity());
    }

    /// Returns whether a token is available, as of the last refill.
    pub(super) fn has_token(&self) -> bool {
        self.parts >= MINUTE_NANOS
    }

    /// Takes a token. The caller must have checked that one is available.
    pub(super) fn take(&mut self) {
        debug_assert!(self.has_token());
        self.parts = self.parts.saturating_sub(MINUTE_NANOS);
    }

    /// Returns the time after the last refill until `tokens` are available, or `None` if
    /// they never are.
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

    /// Returns the time of the last refill.
    pub(super) fn last_refill(&self) -> Instant {
        self.last_refill
    }
}
