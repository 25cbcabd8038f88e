//! Follows one stream of the platform's log and hands on what it reads.

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

/// How a stream is followed.
#[derive(Debug, Clone)]
pub struct TailOptions {
    /// Name of the stream.
    pub stream: String,
    /// First offset wanted.
    pub from: LogOffset,
    /// Most records in one read.
    pub limit: usize,
    /// How long one read waits for new records.
    pub wait: Duration,
    /// Delays after failed reads.
    pub backoff: BackoffPolicy,
    /// Seed of the delays' jitter.
    pub seed: u64,
    /// Events that may wait for the consumer before reading pauses.
    pub capacity: usize,
}

/// What the tail of a stream reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TailEvent {
    /// A read succeeded. `records` is empty if nothing new was there, so that
    /// the consumer knows that it is up to date.
    Records {
        /// The records, in order, following on from those before.
        records: Vec<StoredRecord>,
        /// Offset that the next append will get.
        end_offset: LogOffset,
        /// Oldest offset still kept.
        first_offset: LogOffset,
    },
    /// Reads have failed since the given time; sent once per outage.
    Unreachable {
        /// When the first failed read ended.
        since: Instant,
    },
    /// Records that were not read have expired. The tail goes on from
    /// `first_offset`; the consumer's state has a gap before it.
    Expired {
        /// Oldest offset still kept.
        first_offset: LogOffset,
        /// Offset that the next append will get.
        end_offset: LogOffset,
    },
}

/// A running tail. Dropping it ends the task.
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

    /// The next event, or `None` if the task has ended.
    pub async fn next(&mut self) -> Option<TailEvent> {
        self.events.recv().await
    }
}

impl Drop for LogTail {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The consumer has gone away; the task ends.
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
        // A service that ignores the wait would be asked again without pause;
        // it would show as a busy core and a flood of reads.
        if idle && started.elapsed() < self.options.wait / 2 {
            tokio::time::sleep(self.options.backoff.base).await;
        }
        Ok(())
    }

    async fn back_off(&mut self, error: &ReadError) -> Result<(), ConsumerGone> {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            log::warn!("stream {}: {error}", self.options.stream);
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
