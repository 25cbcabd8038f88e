//! Follows one stream of the platform's log and delivers its records as events.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::ids::LogOffset;
use crate::platform::backoff::BackoffPolicy;
use crate::platform::client::PlatformClient;
use crate::platform::error::ReadError;
use crate::platform::wire::{ReadResponse, StoredRecord};

/// Options of following a stream.
#[derive(Debug, Clone)]
pub struct TailOptions {
    /// Name of the stream.
    pub stream: String,
    /// First offset to read.
    pub from: LogOffset,
    /// Maximum number of records in one read.
    pub limit: usize,
    /// How long a read waits for new records.
    pub wait: Duration,
    /// Backoff after failed reads.
    pub backoff: BackoffPolicy,
    /// Seed of the backoff's jitter.
    pub seed: u64,
    /// Maximum number of undelivered events; further reads wait until the consumer has
    /// caught up.
    pub capacity: usize,
}

/// Event of a followed stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TailEvent {
    /// A read succeeded. `records` is empty if there was nothing new, which shows the
    /// consumer that it is up to date.
    Records {
        /// The records, in order, continuing from the previous ones.
        records: Vec<StoredRecord>,
        /// Offset of the next append.
        end_offset: LogOffset,
        /// Oldest retained offset.
        first_offset: LogOffset,
    },
    /// Reads have failed since the given time; reported once per outage.
    Unreachable {
        /// Time at which the first failed read ended.
        since: Instant,
    },
    /// Unread records have expired. The tail continues from `first_offset`; the consumer
    /// has missed the records before it.
    Expired {
        /// Oldest retained offset.
        first_offset: LogOffset,
        /// Offset of the next append.
        end_offset: LogOffset,
    },
}

/// A running tail. Dropping it ends its task.
#[derive(Debug)]
pub struct LogTail {
    events: mpsc::Receiver<TailEvent>,
    task: JoinHandle<()>,
}

impl LogTail {
    /// Spawns the task that follows the stream.
    pub fn spawn(client: PlatformClient, options: TailOptions) -> Self {
        let (sender, events) = mpsc::channel(options.capacity.max(1));
        let reader = TailReader::new(client, options, sender);
        let task = tokio::spawn(reader.run());
        Self { events, task }
    }

    /// Returns the next event, or `None` if the task has ended.
    pub async fn next(&mut self) -> Option<TailEvent> {
        self.events.recv().await
    }
}

impl Drop for LogTail {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The consumer has dropped its receiver, which ends the task.
struct ConsumerGone;

struct TailReader {
    client: PlatformClient,
    options: TailOptions,
    sender: mpsc::Sender<TailEvent>,
    next_offset: LogOffset,
    failures: u32,
    generator: StdRng,
}

impl TailReader {
    fn new(client: PlatformClient, options: TailOptions, sender: mpsc::Sender<TailEvent>) -> Self {
        let generator = StdRng::seed_from_u64(options.seed);
        Self {
            client,
            next_offset: options.from,
            options,
            sender,
            failures: 0,
            generator,
        }
    }

    async fn run(mut self) {
        while self.step().await.is_ok() {}
    }

    async fn step(&mut self) -> Result<(), ConsumerGone> {
        let options = &self.options;
        let started = Instant::now();
        let read = self
            .client
            .read(
                &options.stream,
                self.next_offset,
                options.limit,
                options.wait,
            )
            .await;
        match read {
            Ok(response) => self.deliver(response, started).await,
            Err(error) => self.back_off(&error).await,
        }
    }

    async fn deliver(
        &mut self,
        response: ReadResponse,
        started: Instant,
    ) -> Result<(), ConsumerGone> {
        self.failures = 0;
        if response.first_offset > self.next_offset {
            self.next_offset = response.first_offset;
            self.send(TailEvent::Expired {
                first_offset: response.first_offset,
                end_offset: response.end_offset,
            })
            .await?;
        }
        let idle = response.records.is_empty();
        if let Some(last) = response.records.last() {
            self.next_offset = last.offset + 1;
        }
        self.send(TailEvent::Records {
            records: response.records,
            end_offset: response.end_offset,
            first_offset: response.first_offset,
        })
        .await?;
        // Without this delay, a service that ignores `wait` would be read in a busy loop,
        // with a flood of requests and a fully loaded core.
        if idle && started.elapsed() < self.options.wait / 2 {
            tokio::time::sleep(self.options.backoff.base).await;
        }
        Ok(())
    }

    async fn back_off(&mut self, error: &ReadError) -> Result<(), ConsumerGone> {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            log::warn!("tail of stream {}: {error}", self.options.stream);
            let since = Instant::now();
            self.send(TailEvent::Unreachable { since }).await?;
        }
        let delay = self
            .options
            .backoff
            .delay(self.failures, &mut self.generator);
        tokio::time::sleep(delay).await;
        Ok(())
    }

    async fn send(&self, event: TailEvent) -> Result<(), ConsumerGone> {
        self.sender.send(event).await.map_err(|_| ConsumerGone)
    }
}
