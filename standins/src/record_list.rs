//! Bounded lists of the work that stand-ins performed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;

/// Next sequence number over all stand-ins of this process.
static NEXT_ORDER: AtomicU64 = AtomicU64::new(0);

/// Returns the next sequence number over all records of this process.
pub(crate) fn next_order() -> u64 {
    NEXT_ORDER.fetch_add(1, Ordering::Relaxed)
}

/// Returns the current time in microseconds since the Unix epoch.
pub(crate) fn now_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Bounded list of records. When it is full, later entries are dropped.
#[derive(Debug)]
pub(crate) struct RecordList<T> {
    cap: usize,
    entries: Mutex<Vec<T>>,
}

impl<T> RecordList<T>
where
    T: Clone,
{
    pub(crate) fn new(cap: usize) -> Self {
        Self {
            cap,
            entries: Mutex::default(),
        }
    }

    /// Appends the entry that `make` builds, unless the list is full.
    pub(crate) fn push<M>(&self, make: M)
    where
        M: FnOnce() -> T,
    {
        if self.cap == 0 {
            return;
        }
        let mut entries = self.entries.lock();
        if entries.len() < self.cap {
            entries.push(make());
        }
    }

    pub(crate) fn entries(&self) -> Vec<T> {
        self.entries.lock().clone()
    }
}
