//! Requests that targets survived recently.

use std::time::{Duration, Instant};

use crate::ids::RequestKey;

/// Time for which a survived request is not suspected. Requests that many callers send
/// alike, for a status or a price list, come several times a second.
const RECENT_TIME: Duration = Duration::from_secs(10);
/// Number of remembered requests, 24 KB. A request replaces the one that has the same slot:
/// at 100 other requests a second, a hundred of them evict a given request in a tenth of
/// the cases, and its next response restores it.
const SLOTS: usize = 1024;

/// A fixed-size cache of the requests that were survived recently.
///
/// A target that ends makes every request suspect that it has just begun. Without this
/// cache, the loss of all targets of a service at once could refuse a request that all
/// callers send alike, to all of them.
#[derive(Debug)]
pub(super) struct RecentSurvivors {
    slots: Vec<Option<(RequestKey, Instant)>>,
}

impl Default for RecentSurvivors {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOTS],
        }
    }
}

impl RecentSurvivors {
    pub(super) fn insert(&mut self, request: RequestKey, now: Instant) {
        if let Some(slot) = self.slots.get_mut(slot_of(request)) {
            *slot = Some((request, now));
        }
    }

    pub(super) fn contains(&self, request: RequestKey, now: Instant) -> bool {
        let slot = self.slots.get(slot_of(request)).copied().flatten();
        slot.is_some_and(|(survivor, at)| survivor == request && now < at + RECENT_TIME)
    }
}

fn slot_of(request: RequestKey) -> usize {
    (request % SLOTS as RequestKey) as usize
}
