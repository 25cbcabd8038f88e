//! Slots of a continuous batch, with a queue ordered by priority and arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Longest timer delay that a busy slot compensates.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// Error: the queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueueFull;

/// A batch with a fixed number of slots.
#[derive(Debug)]
pub(crate) struct StepBatch {
    concurrency: usize,
    max_waiting: usize,
    state: Mutex<BatchState>,
}

#[derive(Debug, Default)]
struct BatchState {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<BatchSlot>>,
}

type QueueKey = (Reverse<u8>, u64);

/// Load of the batch, for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct BatchLoad {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

/// An occupied slot. Dropping it hands the slot to the next waiting step.
#[derive(Debug)]
pub(crate) struct BatchSlot {
    batch: Arc<StepBatch>,
    free_at: Instant,
    is_refused: bool,
}

/// Removes a waiting step from the queue when its caller gives up.
struct QueueGuard<'a> {
    batch: &'a StepBatch,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let sender = self.batch.state.lock().waiting.remove(&self.key);
        drop(sender);
    }
}

impl StepBatch {
    pub(crate) fn new(concurrency: usize, max_waiting: usize) -> Self {
        Self {
            concurrency,
            max_waiting,
            state: Mutex::default(),
        }
    }

    pub(crate) fn load(&self) -> BatchLoad {
        let state = self.state.lock();
        BatchLoad {
            running: state.running,
            waiting: state.waiting.len(),
        }
    }

    /// Waits for a slot, in order of priority, then of arrival.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u8) -> Result<BatchSlot, QueueFull> {
        let arrived_at = Instant::now();
        let (key, receiver) = {
            let mut state = self.state.lock();
            if state.running < self.concurrency {
                state.running += 1;
                return Ok(self.slot(arrived_at));
            }
            if state.waiting.len() >= self.max_waiting {
                return Err(QueueFull);
            }
            state.arrivals += 1;
            let key = (Reverse(priority), state.arrivals);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(key, sender);
            (key, receiver)
        };
        let _guard = QueueGuard { batch: self, key };
        let mut slot = receiver.await.map_err(|_| QueueFull)?;
        slot.free_at = slot.free_at.max(arrived_at);
        Ok(slot)
    }

    /// Removes the next step from the queue. If there is none, frees the slot that was
    /// meant for it.
    fn next_waiting(&self) -> Option<oneshot::Sender<BatchSlot>> {
        let mut state = self.state.lock();
        let next = state.waiting.pop_first();
        if next.is_none() {
            state.running -= 1;
        }
        next.map(|(_, sender)| sender)
    }

    fn slot(self: &Arc<Self>, free_at: Instant) -> BatchSlot {
        BatchSlot {
            batch: Arc::clone(self),
            free_at,
            is_refused: false,
        }
    }
}

impl BatchSlot {
    /// Reserves the slot for `work` and returns the time at which that work is done. The
    /// work counts from the time at which the slot was due to be free, so that late
    /// timers do not lower the rate of a busy engine.
    pub(crate) fn book(&mut self, work: Duration) -> Instant {
        self.free_at += work;
        self.free_at
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        if self.is_refused {
            return;
        }
        let now = Instant::now();
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let free_at = self.free_at.clamp(earliest, now);
        while let Some(sender) = self.batch.next_waiting() {
            match sender.send(self.batch.slot(free_at)) {
                Ok(()) => return,
                // The waiting step has given up, so the slot goes to the next one.
                // Releasing this copy too would enlarge the batch.
                Err(mut refused) => refused.is_refused = true,
            }
        }
    }
}
