//! Shares a pool of memory among bodies that arrive at the same time.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::table::{BufferTable, GrowDecision, HolderId, SMALL_BYTES};
use crate::collections::FastMap;

/// Memory for bodies, shared by all clones.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    pool: Arc<BufferPool>,
}

#[derive(Debug)]
struct BufferPool {
    state: Mutex<PoolState>,
    /// Notified when memory is returned.
    returned: Notify,
}

#[derive(Debug)]
struct PoolState {
    table: BufferTable,
    /// Cancelled when the body has to return its memory.
    evictions: FastMap<HolderId, CancellationToken>,
}

/// The memory of one body, returned when it is dropped.
#[derive(Debug)]
pub struct BufferLease {
    pool: Arc<BufferPool>,
    /// Set once the body is larger than [`SMALL_BYTES`].
    id: Option<HolderId>,
    evicted: CancellationToken,
}

/// Error of a body for which there is no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory for bodies is used up")]
pub struct BufferDenied;

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let state = PoolState {
            table: BufferTable::new(limit),
            evictions: FastMap::default(),
        };
        Self {
            pool: Arc::new(BufferPool {
                state: Mutex::new(state),
                returned: Notify::new(),
            }),
        }
    }

    /// Opens a lease that holds nothing yet.
    pub fn open(&self) -> BufferLease {
        BufferLease {
            pool: self.pool.clone(),
            id: None,
            evicted: CancellationToken::new(),
        }
    }

    /// Returns the memory for all bodies, in bytes.
    pub fn limit(&self) -> usize {
        self.pool.state.lock().table.limit()
    }

    /// Returns the bytes that bodies hold, less the first [`SMALL_BYTES`] of each.
    pub fn charged(&self) -> usize {
        self.pool.state.lock().table.charged()
    }
}

impl BufferLease {
    /// Obtains memory for `bytes` in all, and waits for memory that is about to be returned.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), BufferDenied> {
        if bytes <= SMALL_BYTES {
            return Ok(());
        }
        let pool = self.pool.clone();
        loop {
            // Created before the decision, so that no return of memory is missed.
            let returned = pool.returned.notified();
            match self.try_grow(bytes, Instant::now()) {
                GrowDecision::Granted => return Ok(()),
                GrowDecision::Denied => return Err(BufferDenied),
                GrowDecision::Evict(_) => {}
                GrowDecision::Wait => tokio::select! {
                    () = returned => {}
                    () = self.evicted.cancelled() => return Err(BufferDenied),
                },
            }
        }
    }

    fn try_grow(&mut self, bytes: usize, now: Instant) -> GrowDecision {
        let mut state = self.pool.state.lock();
        let id = *self.id.get_or_insert_with(|| {
            let id = state.table.open(now);
            state.evictions.insert(id, self.evicted.clone());
            id
        });
        let decision = state.table.grow(id, bytes, now);
        if let GrowDecision::Evict(evicted) = decision
            && let Some(eviction) = state.evictions.get(&evicted)
        {
            eviction.cancel();
        }
        decision
    }

    /// Returns when the body has to return its memory.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Records that the body is complete, so that it keeps its memory.
    ///
    /// # Errors
    ///
    /// If it had to return its memory before.
    pub fn complete(&self) -> Result<(), BufferDenied> {
        let Some(id) = self.id else { return Ok(()) };
        match self.pool.state.lock().table.complete(id) {
            true => Ok(()),
            false => Err(BufferDenied),
        }
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let mut state = self.pool.state.lock();
        state.table.close(id);
        state.evictions.remove(&id);
        drop(state);
        self.pool.returned.notify_waiters();
    }
}
