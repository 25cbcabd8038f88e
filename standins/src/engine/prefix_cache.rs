//! Cache of prompt prefixes with a limited size, and the events that it publishes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jackdawwick::collections::FastMap;
use jackdawwick::target::wire::{CacheEvent, CacheEvents};

use crate::reference::fold;

/// Events kept for readers; older events are dropped.
const MAX_EVENTS: usize = 8_192;

/// Returns the hash of the prompt up to the end of each whole chunk.
pub fn prefix_hashes(inputs: &[u64], chunk_inputs: usize) -> Vec<u64> {
    let mut folded = 0;
    let chunks = inputs.chunks_exact(chunk_inputs.max(1));
    let hash_next = |chunk: &[u64]| {
        folded = fold(folded, chunk.iter().copied());
        folded
    };
    chunks.map(hash_next).collect()
}

/// A cache of prompt prefixes that evicts the least recently used ones.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limits: CacheLimits,
    uses: u64,
    last_use: FastMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    next_number: u64,
    events: VecDeque<TimedEvent>,
}

/// Limits of the cache and of the events that its readers receive.
#[derive(Debug, Clone, Copy)]
pub(super) struct CacheLimits {
    pub(super) prefixes: usize,
    pub(super) chunk_inputs: usize,
    pub(super) event_delay: Duration,
    pub(super) drop_event_every: Option<u64>,
}

#[derive(Debug)]
struct TimedEvent {
    visible_at: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    pub(super) fn new(limits: CacheLimits) -> Self {
        Self {
            limits,
            uses: 0,
            last_use: FastMap::default(),
            by_use: BTreeMap::new(),
            next_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of leading inputs that are cached and need not be computed.
    pub(super) fn cached_inputs(&self, inputs: &[u64]) -> usize {
        let hashes = prefix_hashes(inputs, self.limits.chunk_inputs);
        let is_cached = |hash: &&u64| self.last_use.contains_key(*hash);
        hashes.iter().take_while(is_cached).count() * self.limits.chunk_inputs.max(1)
    }

    /// Stores the prefixes of a prompt that has been computed.
    pub(super) fn insert(&mut self, inputs: &[u64], now: Instant) {
        // Longer prefixes are touched first, so that shorter ones are evicted after them.
        for hash in prefix_hashes(inputs, self.limits.chunk_inputs)
            .into_iter()
            .rev()
        {
            self.touch(hash, now);
        }
        while self.last_use.len() > self.limits.prefixes {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&oldest);
            self.publish(oldest, false, now);
        }
    }

    fn touch(&mut self, hash: u64, now: Instant) {
        self.uses += 1;
        self.by_use.insert(self.uses, hash);
        match self.last_use.insert(hash, self.uses) {
            Some(earlier) => {
                self.by_use.remove(&earlier);
            }
            None => self.publish(hash, true, now),
        }
    }

    fn publish(&mut self, prefix: u64, stored: bool, now: Instant) {
        let number = self.next_number;
        self.next_number += 1;
        let dropped = self.limits.drop_event_every;
        if dropped.is_some_and(|every| every > 0 && self.next_number.is_multiple_of(every)) {
            return;
        }
        let event = CacheEvent {
            number,
            prefix,
            stored,
        };
        let visible_at = now + self.limits.event_delay;
        self.events.push_back(TimedEvent { visible_at, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from number `from` on that are visible at `now`.
    pub(super) fn events(&self, from: u64, now: Instant) -> CacheEvents {
        let visible = self
            .events
            .iter()
            .take_while(|timed| timed.visible_at <= now);
        let wanted = visible.filter(|timed| timed.event.number >= from);
        let events: Vec<_> = wanted.map(|timed| timed.event.clone()).collect();
        let next = events.last().map_or(from, |event| event.number + 1);
        CacheEvents { events, next }
    }

    /// Removes every prefix. The event numbers continue.
    pub(super) fn clear(&mut self, now: Instant) {
        let evicted = std::mem::take(&mut self.by_use);
        self.last_use.clear();
        for prefix in evicted.into_values() {
            self.publish(prefix, false, now);
        }
    }
}
