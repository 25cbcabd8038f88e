//! Streams of records with offsets, expiry and waiting readers.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdawwick::ids::LogOffset;
use jackdawwick::platform::wire::{ReadResponse, StoredRecord};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

/// Number of records that a read returns if the caller gives no limit.
const DEFAULT_READ_LIMIT: u64 = 1_000;

/// Parameters of a read.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadRange {
    /// First offset to return.
    pub(super) from: LogOffset,
    /// Maximum number of records.
    pub(super) limit: Option<u64>,
    /// How long to wait while there is no record.
    pub(super) wait: Duration,
}

/// All streams of the log service.
#[derive(Debug)]
pub(super) struct LogStore {
    state: Mutex<StoreState>,
    appends: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct StoreState {
    retention: u64,
    /// Bodies from offset zero on. Expired ones are kept for the history checks.
    streams: BTreeMap<String, Vec<String>>,
}

impl LogStore {
    pub(super) fn new(retention: u64) -> Self {
        let state = StoreState {
            retention,
            streams: BTreeMap::new(),
        };
        Self {
            state: Mutex::new(state),
            appends: watch::Sender::new(0),
        }
    }

    /// Appends a batch and returns the offset of its first record.
    pub(super) fn append(&self, stream: &str, records: Vec<String>) -> LogOffset {
        let first_offset = {
            let mut state = self.state.lock();
            let bodies = state.streams.entry(stream.to_owned()).or_default();
            let first_offset = bodies.len() as u64;
            bodies.extend(records);
            first_offset
        };
        self.appends.send_modify(|count| *count += 1);
        first_offset
    }

    /// Returns the records as soon as there is one, or an empty result when the wait
    /// ends.
    pub(super) async fn read(&self, stream: &str, range: ReadRange) -> ReadResponse {
        let mut appends = self.appends.subscribe();
        let available = async {
            loop {
                appends.borrow_and_update();
                let result = self.read_now(stream, range);
                if !result.records.is_empty() || appends.changed().await.is_err() {
                    return result;
                }
            }
        };
        match timeout(range.wait, available).await {
            Ok(result) => result,
            Err(_) => self.read_now(stream, range),
        }
    }

    fn read_now(&self, stream: &str, range: ReadRange) -> ReadResponse {
        let state = self.state.lock();
        let bodies = state.streams.get(stream).map_or(&[][..], Vec::as_slice);
        let end_offset = bodies.len() as u64;
        let first_offset = end_offset.saturating_sub(state.retention);
        let limit = range.limit.unwrap_or(DEFAULT_READ_LIMIT);
        let start = range.from.clamp(first_offset, end_offset);
        let end = start.saturating_add(limit).min(end_offset);
        ReadResponse {
            first_offset,
            end_offset,
            records: stored_records(bodies, start, end),
        }
    }

    /// Returns every record of a stream, including expired ones.
    pub(super) fn dump(&self, stream: &str) -> Vec<StoredRecord> {
        let state = self.state.lock();
        let bodies = state.streams.get(stream).map_or(&[][..], Vec::as_slice);
        stored_records(bodies, 0, bodies.len() as u64)
    }

    pub(super) fn append_count(&self) -> u64 {
        *self.appends.borrow()
    }

    pub(super) fn set_retention(&self, records: u64) {
        self.state.lock().retention = records;
    }
}

fn stored_records(bodies: &[String], start: LogOffset, end: LogOffset) -> Vec<StoredRecord> {
    let stored = |offset: LogOffset| StoredRecord {
        offset,
        body: bodies[offset as usize].clone(),
    };
    (start..end).map(stored).collect()
}
