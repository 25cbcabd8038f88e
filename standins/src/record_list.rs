//! Bounded lists of what a stand-in really did.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;

/// Numbers entries over all stand-ins of this process.
static NEXT_ORDER: AtomicU64 = AtomicU64::new(0);

/// The next number in the order of all records of this process.
pub(crate) fn next_order() -> u64 {
    NEXT_ORDER.fetch_add(1, Ordering::Relaxed)
}

/// The present time as the records write it.
pub(crate) fn now_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Bounded list of records; when full, later entries are left out.
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

    /// Adds the entry that `make` builds, unless the list is full.
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
