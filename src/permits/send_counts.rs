//! Counts the requests that were recently sent to a target.

use std::time::{Duration, Instant};

/// Time span over which a target's requests are counted.
pub(super) const SEND_WINDOW: Duration = Duration::from_secs(4);
/// Resolution of the counts.
const SLOT: Duration = Duration::from_millis(500);
/// Slots of a window, and the current slot, which has not ended.
const SLOTS: usize = 9;

/// Requests of the last [`SEND_WINDOW`], by half seconds of age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SendCounts {
    /// When the newest slot began.
    newest: Instant,
    /// Counts, the newest slot first.
    slots: [u16; SLOTS],
}

impl SendCounts {
    /// Creates empty counts.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            newest: now,
            slots: [0; SLOTS],
        }
    }

    /// Creates counts from counts by age, the newest first, that another host has just
    /// reported.
    pub(super) fn from_ages(ages: &[u16], now: Instant) -> Self {
        let mut counts = Self::new(now);
        let slots = counts.slots.iter_mut();
        for (slot, reported) in slots.zip(ages) {
            *slot = *reported;
        }
        counts
    }

    /// Returns the counts by age, the newest first, without the empty ones at the end.
    pub(super) fn ages(&self, now: Instant) -> Vec<u16> {
        let mut counts = *self;
        counts.advance(now);
        let used = counts.slots.iter().rposition(|slot| *slot > 0);
        counts.slots[..used.map_or(0, |last| last + 1)].to_vec()
    }

    /// Counts requests that are sent now.
    pub(super) fn count(&mut self, requests: u32, now: Instant) {
        self.advance(now);
        let requests = u16::try_from(requests).unwrap_or(u16::MAX);
        self.slots[0] = self.slots[0].saturating_add(requests);
    }

    /// Returns the requests of the last window.
    pub(super) fn total(&self, now: Instant) -> u32 {
        let mut counts = *self;
        counts.advance(now);
        counts.slots.iter().copied().map(u32::from).sum()
    }

    /// Returns the requests of the last half to whole second.
    pub(super) fn recent(&self, now: Instant) -> u32 {
        let mut counts = *self;
        counts.advance(now);
        counts.slots[..2].iter().copied().map(u32::from).sum()
    }

    /// Returns the time until the oldest counted requests expire.
    pub(super) fn until_next_expiry(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.newest);
        SLOT - (elapsed - SLOT * whole_slots(elapsed))
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.newest);
        let slots = whole_slots(elapsed);
        if slots == 0 {
            return;
        }
        let moved = (slots as usize).min(SLOTS);
        self.slots.copy_within(..SLOTS - moved, moved);
        self.slots[..moved].fill(0);
        self.newest += SLOT * slots;
    }
}

fn whole_slots(time: Duration) -> u32 {
    u32::try_from(time.as_millis() / SLOT.as_millis()).unwrap_or(u32::MAX)
}
