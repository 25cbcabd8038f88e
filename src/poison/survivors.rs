//! Requests that targets have just survived.

use std::time::{Duration, Instant};

use crate::ids::RequestKey;

/// How long a request that was survived is not suspected. Requests that many callers
/// send alike, for a status or a price list, come several times a second.
const RECENT_TIME: Duration = Duration::from_secs(10);
/// Requests that are remembered, 24 KB. Each takes one place, by its key, from the one
/// before: of 100 other requests a second, a hundred push it out in a tenth of the
/// cases, and it is back with its next answer.
const SLOTS: usize = 1024;

/// Requests that were survived lately, as far as there is room.
///
/// A target that ends takes along everything that it has just begun. Were a request
/// that all callers send alike suspected for that, the loss of all targets of a
/// service at once could have it refused, for everybody.
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
