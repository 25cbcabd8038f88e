//! What targets survived recently.

use std::time::{Duration, Instant};

use crate::ids::SuspectKey;

/// Number of remembered keys, 128 KB.
const SLOTS: usize = 4096;
/// Maximum weight of a key: the number of other keys that it outlasts in its slot.
const MAX_WEIGHT: u8 = 15;
/// Time after which a key loses its slot to any other one.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// A key and when a target that has survived it began to run it.
#[derive(Debug, Clone, Copy)]
struct SurvivorSlot {
    key: SuspectKey,
    at: Instant,
    weight: u8,
}

/// A fixed-size cache of the requests and parts that were survived recently.
///
/// A target that ends makes every request suspect that it has just begun, and every part of
/// its prompt. Without this cache, the loss of all targets of a service at once could refuse
/// a request that all callers send alike, to all of them.
///
/// A key that is survived again and again keeps its slot, so that a flood of keys that come
/// once does not evict it.
#[derive(Debug)]
pub(super) struct RecentSurvivors {
    slots: Vec<Option<SurvivorSlot>>,
}

impl Default for RecentSurvivors {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOTS],
        }
    }
}

impl RecentSurvivors {
    /// Records that a target survived a run that began at `at`.
    pub(super) fn insert(&mut self, key: SuspectKey, at: Instant) {
        let Some(slot) = self.slots.get_mut(slot_of(key)) else {
            return;
        };
        match slot {
            Some(known) if known.key == key => {
                known.at = known.at.max(at);
                known.weight = (known.weight + 1).min(MAX_WEIGHT);
            }
            Some(known) if known.weight > 1 && at < known.at + RETENTION_TIME => {
                known.weight -= 1;
            }
            _ => *slot = Some(SurvivorSlot { key, at, weight: 1 }),
        }
    }

    /// Returns when a target that survived the key last began to run it, if it is remembered.
    pub(super) fn last(&self, key: SuspectKey) -> Option<Instant> {
        let slot = self.slots.get(slot_of(key)).copied().flatten();
        slot.filter(|slot| slot.key == key).map(|slot| slot.at)
    }
}

fn slot_of(key: SuspectKey) -> usize {
    (key % SLOTS as SuspectKey) as usize
}
