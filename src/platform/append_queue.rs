//! Batches the records that one host appends to one stream.
//!
//! The platform accepts only several hundred appends per second from the whole system, so
//! records submitted within a short interval share one append.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::ids::LogOffset;
use crate::platform::client::PlatformClient;
use crate::platform::error::AppendError;

/// Limits and intervals of batching.
#[derive(Debug, Clone)]
pub struct AppendOptions {
    /// Name of the stream.
    pub stream: String,
    /// How long the first record of a batch waits for further ones.
    pub interval: Duration,
    /// Maximum number of records in a batch.
    pub batch_limit: usize,
    /// Maximum number of records waiting to be batched; further ones are refused.
    pub capacity: usize,
    /// Maximum number of appends in flight. With more than one, records of different
    /// batches may be stored out of order.
    pub in_flight: usize,
}

impl AppendOptions {
    /// Returns the default options for a stream.
    pub fn for_stream(stream: &str) -> Self {
        Self {
            stream: stream.to_owned(),
            interval: Duration::from_millis(4),
            batch_limit: 256,
            capacity: 4096,
            in_flight: 4,
        }
    }
}

/// Reason why a record was refused; it is never appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// Too many records are waiting.
    #[error("too many records are waiting to be appended")]
    Full,
    /// The queue's task has ended.
    #[error("the append queue is closed")]
    Closed,
}

/// Result of one record: its offset, or the error of its batch.
pub type AppendResult = Result<LogOffset, AppendError>;

/// Counts of attempted appends and of the records in them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AppendCounts {
    /// Appends sent to the platform.
    pub appends: u64,
    /// Records in these appends.
    pub records: u64,
    /// Appends that failed.
    pub failures: u64,
}

/// A running queue. After it is dropped, its task sends the submitted records and ends.
#[derive(Debug)]
pub struct AppendQueue {
    sender: mpsc::Sender<PendingRecord>,
    counters: Arc<AppendCounters>,
    _task: JoinHandle<()>,
}

impl AppendQueue {
    /// Spawns the task that batches and appends records.
    pub fn spawn(client: PlatformClient, options: AppendOptions) -> Self {
        let (sender, receiver) = mpsc::channel(options.capacity.max(1));
        let counters = Arc::new(AppendCounters::default());
        let batcher = Arc::new(RecordBatcher {
            client,
            stream: options.stream.clone(),
            counters: Arc::clone(&counters),
        });
        let task = tokio::spawn(run_batches(batcher, receiver, options));
        Self {
            sender,
            counters,
            _task: task,
        }
    }

    /// Submits the JSON text of one record. The receiver yields the result of the append;
    /// the record may have been appended even if that is an error.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or closed; the record is not appended then.
    pub fn submit(&self, body: String) -> Result<oneshot::Receiver<AppendResult>, SubmitError> {
        let (reply, receiver) = oneshot::channel();
        match self.sender.try_send(PendingRecord { body, reply }) {
            Ok(()) => Ok(receiver),
            Err(mpsc::error::TrySendError::Full(_)) => Err(SubmitError::Full),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(SubmitError::Closed),
        }
    }

    /// Returns the counts so far, for the append budget.
    pub fn counts(&self) -> AppendCounts {
        AppendCounts {
            appends: self.counters.appends.load(Ordering::Relaxed),
            records: self.counters.records.load(Ordering::Relaxed),
            failures: self.counters.failures.load(Ordering::Relaxed),
        }
    }
}

#[derive(Debug, Default)]
struct AppendCounters {
    appends: AtomicU64,
    records: AtomicU64,
    failures: AtomicU64,
}

struct PendingRecord {
    body: String,
    reply: oneshot::Sender<AppendResult>,
}

struct RecordBatcher {
    client: PlatformClient,
    stream: String,
    counters: Arc<AppendCounters>,
}

async fn run_batches(
    batcher: Arc<RecordBatcher>,
    mut receiver: mpsc::Receiver<PendingRecord>,
    options: AppendOptions,
) {
    let permits = Arc::new(Semaphore::new(options.in_flight.max(1)));
    loop {
        let batch = collect_batch(&mut receiver, &options).await;
        if batch.is_empty() {
            return;
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let batcher = Arc::clone(&batcher);
        tokio::spawn(async move {
            batcher.append(batch).await;
            drop(permit);
        });
    }
}

/// Waits for a record, then collects further ones until the interval ends or the limit is
/// reached. Returns an empty batch if the queue was dropped.
async fn collect_batch(
    receiver: &mut mpsc::Receiver<PendingRecord>,
    options: &AppendOptions,
) -> Vec<PendingRecord> {
    let limit = options.batch_limit.max(1);
    let mut batch = Vec::new();
    if receiver.recv_many(&mut batch, limit).await == 0 {
        return batch;
    }
    let deadline = tokio::time::Instant::now() + options.interval;
    while batch.len() < limit {
        let remaining = limit - batch.len();
        match tokio::time::timeout_at(deadline, receiver.recv_many(&mut batch, remaining)).await {
            Ok(count) if count > 0 => {}
            _ => break,
        }
    }
    batch
}

impl RecordBatcher {
    async fn append(&self, batch: Vec<PendingRecord>) {
        let (bodies, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|record| (record.body, record.reply))
            .unzip();
        self.count(bodies.len());
        let response = self.client.append(&self.stream, bodies).await;
        if let Err(error) = &response {
            self.counters.failures.fetch_add(1, Ordering::Relaxed);
            log::debug!("append to stream {}: {error}", self.stream);
        }
        for (index, reply) in (0..).zip(replies) {
            let result = response
                .as_ref()
                .map(|response| response.first_offset + index)
                .map_err(Clone::clone);
            // A submitter that dropped its receiver does not need the result.
            let _ = reply.send(result);
        }
    }

    fn count(&self, records: usize) {
        let records = u64::try_from(records).unwrap_or(u64::MAX);
        self.counters.appends.fetch_add(1, Ordering::Relaxed);
        self.counters.records.fetch_add(records, Ordering::Relaxed);
    }
}
