//! Tracks which prompt prefixes a target probably holds in its cache.

use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::target::wire::CacheEvents;

use super::load::decay_weight;

/// Prefixes kept per target and generation; two generations are kept.
const GENERATION_SIZE: usize = 2_048;

/// Factor on the confidence in older entries after one gap in the events.
const CONFIDENCE_AFTER_GAP: f64 = 0.5;

/// A stored prefix and when this host learned of it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct StoredPrefix {
    learned_at: Instant,
    gaps_before: u32,
}

/// The prefix cache of one target as its cache events describe it.
///
/// Memory is bounded by two generations: when the newer one is full it replaces the older
/// one, whose prefixes are dropped.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct PrefixView {
    newer: FastMap<u64, StoredPrefix>,
    older: FastMap<u64, StoredPrefix>,
    next: u64,
    gaps: u32,
}

impl PrefixView {
    /// Applies events that arrived together.
    ///
    /// A missing event may be an eviction, so a gap halves the confidence in everything
    /// learned before. Without this, prompts would be routed to targets that evicted
    /// their prefix long ago, and prefills would be as slow as on a cold target.
    pub(super) fn observe(&mut self, events: &CacheEvents, now: Instant) {
        for event in &events.events {
            if event.number < self.next {
                // Event numbers that go back mean that the engine restarted with an empty
                // cache.
                self.newer.clear();
                self.older.clear();
            } else if event.number > self.next {
                self.gaps = self.gaps.saturating_add(1);
            }
            self.next = event.number + 1;
            match event.stored {
                true => self.insert_prefix(event.prefix, now),
                false => self.evict(event.prefix),
            }
        }
        if events.next > self.next {
            self.gaps = self.gaps.saturating_add(1);
            self.next = events.next;
        }
    }

    fn insert_prefix(&mut self, prefix: u64, now: Instant) {
        if self.newer.len() >= GENERATION_SIZE {
            self.older = std::mem::take(&mut self.newer);
        }
        let stored = StoredPrefix {
            learned_at: now,
            gaps_before: self.gaps,
        };
        self.newer.insert(prefix, stored);
    }

    fn evict(&mut self, prefix: u64) {
        self.newer.remove(&prefix);
        self.older.remove(&prefix);
    }

    /// Returns the probability that the prefix is held, from 0 to 1.
    fn confidence(&self, prefix: u64, decay: Duration, now: Instant) -> f64 {
        let stored = self.newer.get(&prefix).or_else(|| self.older.get(&prefix));
        let Some(stored) = stored else {
            return 0.0;
        };
        let gaps = self.gaps.saturating_sub(stored.gaps_before);
        let age = now.saturating_duration_since(stored.learned_at);
        CONFIDENCE_AFTER_GAP.powf(f64::from(gaps)) * decay_weight(age, decay)
    }

    /// Returns the fraction of a prompt that is expected to be cached, from 0 to 1.
    ///
    /// `prefixes` are evenly spaced over the prompt, shortest first.
    pub(super) fn expected_hit(&self, prefixes: &[u64], decay: Duration, now: Instant) -> f64 {
        if self.newer.is_empty() && self.older.is_empty() {
            return 0.0;
        }
        let count = prefixes.len() as f64;
        let mut best = 0.0;
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            let covered = (index + 1) as f64 / count;
            if covered <= best {
                break;
            }
            let hit = self.confidence(*prefix, decay, now) * covered;
            best = f64::max(best, hit);
        }
        best
    }
}
