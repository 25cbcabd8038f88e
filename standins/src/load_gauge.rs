//! The load report, refreshed periodically.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use jackdawwick::target::wire::LoadReport;
use parking_lot::Mutex;
use tokio::time::{MissedTickBehavior, interval};

use crate::batch::{BatchLoad, StepBatch};

/// Shortest interval between two snapshots.
const MIN_LAG: Duration = Duration::from_millis(1);

/// Counts tokens and stores the last snapshot of the load.
#[derive(Debug)]
pub(crate) struct LoadGauge {
    tokens: AtomicU64,
    snapshot: Mutex<LoadSnapshot>,
}

#[derive(Debug)]
struct LoadSnapshot {
    taken_at: Instant,
    load: BatchLoad,
    tokens_per_second: f64,
}

impl LoadGauge {
    pub(crate) fn new(now: Instant) -> Self {
        let snapshot = LoadSnapshot {
            taken_at: now,
            load: BatchLoad::default(),
            tokens_per_second: 0.0,
        };
        Self {
            tokens: AtomicU64::new(0),
            snapshot: Mutex::new(snapshot),
        }
    }

    /// Adds to the count of positions that have run.
    pub(crate) fn count(&self, tokens: usize) {
        self.tokens.fetch_add(tokens as u64, Ordering::Relaxed);
    }

    /// Takes snapshots of `batch` at an interval of `lag`, until the task is dropped.
    pub(crate) async fn refresh_every(&self, lag: Duration, batch: &StepBatch) {
        let mut ticks = interval(lag.max(MIN_LAG));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.refresh(batch.load(), Instant::now());
        }
    }

    fn refresh(&self, load: BatchLoad, now: Instant) {
        let tokens = self.tokens.swap(0, Ordering::Relaxed);
        let mut snapshot = self.snapshot.lock();
        let elapsed = now.saturating_duration_since(snapshot.taken_at);
        let seconds = elapsed.as_secs_f64().max(f64::EPSILON);
        *snapshot = LoadSnapshot {
            taken_at: now,
            load,
            tokens_per_second: tokens as f64 / seconds,
        };
    }

    /// Returns the last snapshot with its age.
    pub(crate) fn report(&self, now: Instant) -> LoadReport {
        let snapshot = self.snapshot.lock();
        let age = now.saturating_duration_since(snapshot.taken_at);
        LoadReport {
            running: snapshot.load.running as u32,
            waiting: snapshot.load.waiting as u32,
            tokens_per_second: snapshot.tokens_per_second,
            age_ms: age.as_millis() as u64,
        }
    }
}
