//! Batches the records that one host writes to one stream.
//!
//! The platform takes only several hundred appends a second from the whole
//! system. Records submitted within a short interval share one append.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::ids::LogOffset;
use crate::platform::client::PlatformClient;
use crate::platform::error::AppendError;

/// How records are batched.
#[derive(Debug, Clone)]
pub struct AppendOptions {
    /// Name of the stream.
    pub stream: String,
    /// How long the first record of a batch waits for others.
    pub interval: Duration,
    /// Most records in one batch.
    pub batch_limit: usize,
    /// Most records that wait to be batched; more are refused.
    pub capacity: usize,
    /// Most appends in flight at once. With more than one, records of
    /// different batches may be stored in another order than submitted.
    pub in_flight: usize,
}

impl AppendOptions {
    /// Options that suit a stream of the system.
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

/// Why a record was not taken; it was not and will not be appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// Too many records wait already.
    #[error("too many records wait to be appended")]
    Full,
    /// The queue's task has ended.
    #[error("the append queue is closed")]
    Closed,
}

/// What became of one record: its offset, or the batch's error.
pub type AppendResult = Result<LogOffset, AppendError>;

/// Appends that were tried, and the records in them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AppendCounts {
    /// Calls to the platform.
    pub appends: u64,
    /// Records in these calls.
    pub records: u64,
    /// Calls that failed.
    pub failures: u64,
}

/// A running queue. Dropping it ends the task once submitted records are sent.
#[derive(Debug)]
pub struct AppendQueue {
    sender: mpsc::Sender<PendingRecord>,
    counters: Arc<AppendCounters>,
    _task: JoinHandle<()>,
}

impl AppendQueue {
    /// Spawns the task that batches and appends.
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

    /// Submits the JSON text of one record. The receiver yields what became
    /// of it; if it yields an error, the record may have been appended.
    ///
    /// # Errors
    ///
    /// Fails at once if the record cannot be taken; it is then not appended.
    pub fn submit(&self, body: String) -> Result<oneshot::Receiver<AppendResult>, SubmitError> {
        let (reply, receiver) = oneshot::channel();
        match self.sender.try_send(PendingRecord { body, reply }) {
            Ok(()) => Ok(receiver),
            Err(mpsc::error::TrySendError::Full(_)) => Err(SubmitError::Full),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(SubmitError::Closed),
        }
    }

    /// Calls and records so far, for the append budget.
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

/// Waits for a record, then for others until the interval or the limit is
/// reached. Empty if the queue was dropped.
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
            log::debug!("stream {}: {error}", self.stream);
        }
        for (index, reply) in (0..).zip(replies) {
            let result = response
                .as_ref()
                .map(|response| response.first_offset + index)
                .map_err(Clone::clone);
            // A submitter that no longer waits has nothing left to decide.
            let _ = reply.send(result);
        }
    }

    fn count(&self, records: usize) {
        let records = u64::try_from(records).unwrap_or(u64::MAX);
        self.counters.appends.fetch_add(1, Ordering::Relaxed);
        self.counters.records.fetch_add(records, Ordering::Relaxed);
    }
}
