//! Follows the targets' heartbeats in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::LogRole;
use crate::entry::log_continuity::LogGap;
use crate::entry::log_copy::{LogCopy, LogTopic};
use crate::entry::log_role::wait_for_reader_role;
use crate::ids::LogOffset;
use crate::platform::log_calls::{KeyedRead, LogClient, LogError};
use crate::platform::names;

/// Pause between two reads, in parts of the time within which a leaving
/// target must be known. Every heartbeat is a record, so a read that waits
/// for the next one would return 30 times a second with 36 engines.
const READS_PER_DRAIN_TIME: u32 = 3;
/// Longest pause between two reads: others rely on this host, and have to
/// notice within a second that it has lost the log.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Shortest pause between two reads.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Heartbeats for which the log has to be out of reach before entries can have
/// lapsed for that alone: they lapse after three without a word, and the last
/// one may have been written just before.
const EXPIRY_HEARTBEATS: u32 = 2;

/// How fast targets and their entries change.
#[derive(Debug, Clone, Copy)]
pub struct TargetTiming {
    /// Time within which a leaving target has to be known.
    pub drain: Duration,
    /// Time between two heartbeats of a target.
    pub heartbeat: Duration,
}

/// What is taken from the reads of the targets' log.
#[derive(Debug)]
pub struct TargetFollower {
    copy: Arc<LogCopy>,
    next: Option<LogOffset>,
    /// When the log was read up to there.
    read_at: Option<Instant>,
    /// Failed reads in a row.
    failures: u32,
}

/// Keeps the table of targets up to date while it is this host's duty, for ever.
pub async fn follow_targets(
    copy: Arc<LogCopy>,
    mut reader: LogClient,
    pace: TargetTiming,
    mut role: watch::Receiver<LogRole>,
) {
    let pause = (pace.drain / READS_PER_DRAIN_TIME).min(MAX_PAUSE);
    let mut follower = TargetFollower::open(copy, pace);
    loop {
        if !role.borrow().is_reader() {
            follower.reset_position();
        }
        let Some(current) = wait_for_reader_role(&mut role).await else {
            return;
        };
        let started = Instant::now();
        let read = match follower.next {
            None => reader.newest(names::TARGET_TOPIC).await,
            Some(next) => reader.read(names::TARGET_TOPIC, next, Duration::ZERO).await,
        };
        let now = Instant::now();
        let answered = matches!(read, Ok(_) | Err(LogError::Deleted));
        let elapsed = now.saturating_duration_since(started);
        follower
            .copy
            .record_call(LogTopic::Targets, elapsed, answered, now);
        let is_trimmed = matches!(read, Err(LogError::Deleted));
        follower.apply_read(read, now);
        let paused = match is_trimmed {
            // The newest records are there, and a target may have left unseen.
            true => Duration::ZERO,
            false => follower.pause(current.retry_pause(pause, follower.failures), elapsed, now),
        };
        tokio::time::sleep(paused).await;
    }
}

impl TargetFollower {
    /// A follower that has read nothing yet; what it reads goes into the copy.
    pub fn open(copy: Arc<LogCopy>, pace: TargetTiming) -> Self {
        copy.set_expiry(pace.heartbeat * EXPIRY_HEARTBEATS);
        Self {
            copy,
            next: None,
            read_at: None,
            failures: 0,
        }
    }

    /// Where to read on; `None` for the newest record of each target.
    pub fn next(&self) -> Option<LogOffset> {
        self.next
    }

    /// Another host is followed: what was read before is old by the time it is needed again.
    pub fn reset_position(&mut self) {
        self.next = None;
        self.read_at = None;
        self.failures = 0;
    }

    /// Takes in what a read gave.
    pub fn apply_read(&mut self, read: Result<KeyedRead, LogError>, now: Instant) {
        match read {
            Ok(read) => self.apply_records(&read, now),
            // The log was there all the while: whatever the newest records lack has left.
            Err(LogError::Deleted) => {
                log::info!("targets: history lost, reading the newest records");
                self.next = None;
            }
            Err(error) => {
                if self.failures == 0 {
                    log::warn!(error:% = error; "targets: log lost");
                }
                self.failures += 1;
            }
        }
    }

    /// Pause until the next read, where the last one took so long.
    ///
    /// Reads are paced from their starts: one that waited in vain for its answer would be
    /// followed by a whole pause, and the end of an outage seen that much later. A doubt
    /// ends with a read of its own, so that it neither lasts longer nor rests on what was
    /// true half a second before.
    fn pause(&self, usual: Duration, elapsed: Duration, now: Instant) -> Duration {
        let paced = usual.saturating_sub(elapsed).max(MIN_PAUSE);
        // Without the log no doubt ends.
        let due = match self.failures {
            0 => self.copy.next_due(),
            _ => None,
        };
        let due = due.map(|due| due.saturating_duration_since(now).max(MIN_PAUSE));
        due.map_or(paced, |due| due.min(paced))
    }

    fn apply_records(&mut self, read: &KeyedRead, now: Instant) {
        // What the first read after a gap says is gone may have lapsed only because
        // nobody could write. Whoever goes after that is gone at once.
        let regained = std::mem::take(&mut self.failures) > 0;
        let gap = self.copy.observe_read(now, regained);
        if regained {
            let from = gap.and_then(|gap| gap.from);
            let away_ms = from.map(|from| now.saturating_duration_since(from).as_millis());
            log::info!(next = read.next, away_ms:? = away_ms; "targets: log reached again");
        }
        if self.next.is_none() {
            let listed = read.records.iter().map(|record| record.key.as_str());
            self.copy.apply_list(listed, read.next, gap);
        }
        // The records since the last own read cover a gap also where a neighbour told of the
        // log in between.
        let before = self.read_at.replace(now);
        let is_after_last_read = |gap: &LogGap| before.is_some_and(|before| gap.until > before);
        let gap = gap.or_else(|| self.copy.last_gap().filter(is_after_last_read));
        self.next = Some(read.next);
        for record in &read.records {
            match &record.value {
                None => self.copy.apply_drop(&record.key, record.offset, gap),
                Some(value) => self.copy.observe_target(&record.key, record.offset, value),
            }
        }
        self.copy.advance(read.next);
        self.copy.drop_due();
    }
}
