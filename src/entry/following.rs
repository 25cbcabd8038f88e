//! Follows the targets' heartbeats in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::LogDuty;
use crate::entry::log_copy::{LogCopy, LogTopic};
use crate::entry::log_duty::wait_to_read;
use crate::entry::missing::{MissingTargets, drop_unlisted};
use crate::entry::peering::FRESH_AGE;
use crate::ids::LogOffset;
use crate::platform::log_calls::{KeyedRead, LogClient, LogError};
use crate::platform::names;

/// Pause between two reads, in parts of the time within which a leaving
/// target must be known. Every heartbeat is a record, so a read that waits
/// for the next one would return 30 times a second with 36 engines.
const READS_PER_DRAIN: u32 = 3;
/// Longest pause between two reads: others rely on this host, and have to
/// notice within a second that it has lost the log.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Heartbeats for which the log has to be out of reach before entries can have
/// lapsed for that alone: they lapse after three without a word, and the last
/// one may have been written just before.
const LAPSING_HEARTBEATS: u32 = 2;

/// How fast targets and their entries change.
#[derive(Debug, Clone, Copy)]
pub struct TargetPace {
    /// Time within which a leaving target has to be known.
    pub drain: Duration,
    /// Time between two heartbeats of a target.
    pub heartbeat: Duration,
}

/// What the follower of heartbeats remembers.
struct TargetFollower {
    copy: Arc<LogCopy>,
    next: Option<LogOffset>,
    /// Failed reads in a row.
    failures: u32,
    /// When the log was last read without trouble.
    read_at: Option<Instant>,
    /// How long it has to be out of reach for entries to lapse.
    lapse: Duration,
    missing: MissingTargets,
}

/// Keeps the table of targets up to date while it is this host's duty, for ever.
pub async fn follow_targets(
    copy: Arc<LogCopy>,
    mut reader: LogClient,
    pace: TargetPace,
    mut duty: watch::Receiver<LogDuty>,
) {
    let pause = (pace.drain / READS_PER_DRAIN).min(LONGEST_PAUSE);
    let mut follower = TargetFollower {
        copy,
        next: None,
        failures: 0,
        read_at: None,
        lapse: pace.heartbeat * LAPSING_HEARTBEATS,
        missing: MissingTargets::default(),
    };
    loop {
        if !duty.borrow().is_reader() {
            // What was read before is old by the time it is needed again. So is
            // an outage: the host that is followed has judged what it left
            // behind, and to doubt the next first read for it would keep
            // targets that leave much later.
            follower.next = None;
            follower.missing = MissingTargets::default();
            follower.failures = 0;
        }
        let followed = !duty.borrow().is_reader();
        let Some(current) = wait_to_read(&mut duty).await else {
            return;
        };
        if followed {
            // What the other host passed on was so old at most.
            follower.read_at = Instant::now().checked_sub(FRESH_AGE);
        }
        let started = Instant::now();
        let read = match follower.next {
            None => reader.newest(names::TARGET_TOPIC).await,
            Some(next) => reader.read(names::TARGET_TOPIC, next, Duration::ZERO).await,
        };
        let now = Instant::now();
        let answered = matches!(read, Ok(_) | Err(LogError::Deleted));
        let took = now.saturating_duration_since(started);
        follower
            .copy
            .note_call(LogTopic::Targets, took, answered, now);
        let is_trimmed = matches!(read, Err(LogError::Deleted));
        follower.take(read, now);
        let paused = match is_trimmed {
            // The newest records are there, and a target may have left unseen.
            true => Duration::ZERO,
            false => current.retry_pause(pause, follower.failures),
        };
        tokio::time::sleep(paused).await;
    }
}

impl TargetFollower {
    fn take(&mut self, read: Result<KeyedRead, LogError>, now: Instant) {
        match read {
            Ok(read) => self.take_records(&read, now),
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
        // While the log cannot be read nobody can come back.
        if self.failures == 0 {
            self.missing.drop_due(&self.copy, now);
        }
    }

    fn take_records(&mut self, read: &KeyedRead, now: Instant) {
        // What the first read after an outage says is gone may have lapsed only
        // because nobody could write. Whoever goes after that is gone at once: a
        // host that was cut off alone has to know a leaving target as early as
        // all others. Nothing lapses in the time of one lost answer: to doubt a
        // read for that alone kept a target for three seconds after it left.
        let before = self.read_at.replace(now);
        let gap = before.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        let regained = std::mem::take(&mut self.failures) > 0;
        let back = regained && gap >= self.lapse;
        if regained {
            let away_ms = before.map_or(0, |_| gap.as_millis());
            log::info!(
                next = read.next, doubted = back, away_ms = away_ms;
                "targets: log reached again"
            );
        }
        if self.next.is_none() {
            let listed = read.records.iter().map(|record| record.key.as_str());
            // A host that begins to read for itself has no outage behind it:
            // what is not listed has left.
            match back {
                true => {
                    self.missing.expect_all(&self.copy, listed, read.next, now);
                }
                false => drop_unlisted(&self.copy, listed, read.next),
            }
        }
        self.next = Some(read.next);
        for record in &read.records {
            match &record.value {
                None if back => self.missing.expect(&record.key, record.offset, now),
                None => {
                    self.copy
                        .remove_target(&record.key, record.offset, "entry dropped");
                }
                Some(value) => {
                    self.missing.observe(&record.key);
                    self.copy.observe_target(&record.key, record.offset, value);
                }
            }
        }
        self.copy.advance(read.next);
    }
}
