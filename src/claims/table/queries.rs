//! What the table tells.

use std::time::{Duration, SystemTime};

use super::{ClaimTable, HeldKey, KeyState};
use crate::claims::record::{ClaimName, RequestFingerprint, TimeMark};
use crate::claims::response::ClaimRefusal;
use crate::ids::LogOffset;

impl ClaimTable {
    /// The offset that is to be applied next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Claims remembered, won, lost and withdrawn.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether every claim that counts at `now` is known. Until then a host
    /// takes no non-idempotent requests.
    pub fn covers(&self, now: SystemTime) -> bool {
        let complete_at = self.coverage.complete_at(&self.window);
        !self.saw_newer_rules && complete_at.is_some_and(|time| time < now)
    }

    /// How long until [`Self::covers`] may hold; `None` if that is not known.
    pub fn time_until_covered(&self, now: SystemTime) -> Option<Duration> {
        if self.saw_newer_rules {
            return None;
        }
        let complete_at = self.coverage.complete_at(&self.window)?;
        Some(complete_at.duration_since(now).unwrap_or_default())
    }

    /// Whether a request under a key made at `created` may be claimed, or
    /// dispatched after its claim has won, at `now`.
    ///
    /// # Errors
    ///
    /// Refuses keys that are too old or from the future, and all keys while
    /// claims may be missing.
    pub fn admit(&self, created: SystemTime, now: SystemTime) -> Result<(), ClaimRefusal> {
        let pruned = created < self.pruned_before;
        if pruned || self.window.is_expired(created, now) {
            return Err(ClaimRefusal::KeyExpired);
        }
        if self.window.is_from_future(created, now) {
            return Err(ClaimRefusal::KeyFromFuture);
        }
        if !self.covers(now) {
            return Err(ClaimRefusal::NotCovered);
        }
        Ok(())
    }

    /// What is known about a key for a request with this fingerprint.
    pub fn look_up(&self, name: &ClaimName, fingerprint: &RequestFingerprint) -> KeyState {
        match self.holders.get(name) {
            None => KeyState::Free,
            Some(held) if held.fingerprint != *fingerprint => KeyState::Mismatched,
            Some(HeldKey {
                outcome: Some(outcome),
                ..
            }) => KeyState::Ended(outcome.clone()),
            Some(held) => KeyState::Held(held.holder.clone()),
        }
    }

    /// The time mark for a record written at `now`.
    pub fn mark(&self, now: SystemTime) -> TimeMark {
        TimeMark {
            seen: self.next_offset,
            written: now,
        }
    }

    /// Whether the stream has had no time mark for so long that one should be
    /// appended. Each host adds a `stagger` of its own, so that they do not
    /// all do so at once.
    pub fn mark_due(&self, now: SystemTime, stagger: Duration) -> bool {
        self.last_mark + self.window.mark_interval() + stagger < now
    }

    /// Whether a key needs no further care at `now`, because no host can
    /// accept it any more.
    pub fn is_prunable(&self, created: SystemTime, now: SystemTime) -> bool {
        created < self.window.prune_before(now)
    }
}
