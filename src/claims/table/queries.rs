//! Queries of the table, without effect on it.

use std::time::{Duration, SystemTime};

use super::{ClaimTable, HeldKey, KeyState};
use crate::claims::record::{ClaimName, RequestFingerprint, TimeMark};
use crate::claims::response::ClaimRefusal;
use crate::ids::LogOffset;

impl ClaimTable {
    /// Returns the offset of the record to be applied next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the number of known claims: won, lost and withdrawn ones.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns whether every claim that is valid at `now` is known. Until then a host
    /// accepts no non-idempotent requests.
    pub fn covers(&self, now: SystemTime) -> bool {
        let complete_at = self.coverage.complete_at(&self.window);
        !self.saw_newer_rules && complete_at.is_some_and(|time| time < now)
    }

    /// Returns the time until [`Self::covers`] may hold; `None` if it is unknown.
    pub fn time_until_covered(&self, now: SystemTime) -> Option<Duration> {
        if self.saw_newer_rules {
            return None;
        }
        let complete_at = self.coverage.complete_at(&self.window)?;
        Some(complete_at.duration_since(now).unwrap_or_default())
    }

    /// Checks whether a request under a key created at `created` may be claimed at `now`,
    /// or dispatched after its claim has won.
    ///
    /// # Errors
    ///
    /// Refuses keys that are too old or from the future, and all keys while claims may be
    /// missing.
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

    /// Returns the state of a key for a request with this fingerprint.
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

    /// Returns the time mark of a record written at `now`.
    pub fn mark(&self, now: SystemTime) -> TimeMark {
        TimeMark {
            seen: self.next_offset,
            written: now,
        }
    }

    /// Returns whether the stream has had no time mark for so long that one should be
    /// appended. Each host adds its own `stagger`, so that not all hosts append one at
    /// the same time.
    pub fn mark_due(&self, now: SystemTime, stagger: Duration) -> bool {
        self.last_mark + self.window.mark_interval() + stagger < now
    }

    /// Returns whether state of a key may be dropped at `now`, because no host accepts
    /// the key any more.
    pub fn is_prunable(&self, created: SystemTime, now: SystemTime) -> bool {
        created < self.window.prune_before(now)
    }
}
