//! The part of each rank's requests that starts whatever more urgent ranks ask for.

use std::time::{Duration, Instant};

use crate::collections::FastMap;

/// Part of the overall served share that a rank is served at least. A quarter is required;
/// the margin is for requests that fail or are late after their start.
const FLOOR_SHARE: f64 = 0.35;
/// Largest credit, in requests. A rank that was served well before a burst must not use
/// saved credit in it.
const MAX_CREDIT: f64 = 2.0;
/// Time constant of the decay of the counters.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Counters of the requests of one service on this host.
///
/// Each arrival adds a part of a start to the credit of its rank, so that the floor is kept
/// on every host by itself and its starts are not bunched.
#[derive(Debug, Clone, Default)]
pub struct RankFloors {
    credits: FastMap<u8, f64>,
    arrived: f64,
    started: f64,
    updated_at: Option<Instant>,
}

impl RankFloors {
    /// Counts the arrival of a request.
    pub fn count_arrival(&mut self, priority: u8, now: Instant) {
        self.decay(now);
        self.arrived += 1.0;
        let served = (self.started / self.arrived).min(1.0);
        let credit = self.credits.entry(priority).or_default();
        *credit = (*credit + FLOOR_SHARE * served).min(MAX_CREDIT);
    }

    /// Counts the start of a request.
    pub fn count_start(&mut self, priority: u8, now: Instant) {
        self.decay(now);
        self.started += 1.0;
        let credit = self.credits.entry(priority).or_default();
        *credit = (*credit - 1.0).max(0.0);
    }

    /// Returns whether a request of a rank has to start for the rank to reach its floor.
    pub fn is_due(&self, priority: u8) -> bool {
        self.credits
            .get(&priority)
            .is_some_and(|credit| *credit >= 1.0)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated_at.map(|at| now.saturating_duration_since(at));
        let elapsed = elapsed.unwrap_or_default().as_secs_f64();
        let remaining = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.arrived *= remaining;
        self.started *= remaining;
        self.updated_at = Some(now);
    }
}
