//! Follows the targets' heartbeats in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::log_copy::{LogCopy, LogTopic};
use crate::entry::missing::{MissingTargets, drop_unlisted};
use crate::ids::LogOffset;
use crate::platform::log_calls::{KeyedRead, LogError, LogReader};
use crate::platform::names;

/// Pause between two reads, in parts of the time within which a leaving
/// target must be known. Every heartbeat is a record, so a read that waits
/// for the next one would return 30 times a second with 36 engines.
const READS_PER_DRAIN: u32 = 3;
/// Longest pause between two reads: others rely on this host, and have to
/// notice within a second that it has lost the log.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// What the follower of heartbeats remembers.
struct TargetFollower {
    copy: Arc<LogCopy>,
    next: Option<LogOffset>,
    lost: bool,
    history_lost: bool,
    missing: MissingTargets,
}

/// Keeps the table of targets up to date while `direct` says so, for ever.
pub async fn follow_targets(
    copy: Arc<LogCopy>,
    mut reader: LogReader,
    drain: Duration,
    mut direct: watch::Receiver<bool>,
) {
    let pause = (drain / READS_PER_DRAIN).min(LONGEST_PAUSE);
    let mut follower = TargetFollower {
        copy,
        next: None,
        lost: false,
        history_lost: false,
        missing: MissingTargets::default(),
    };
    loop {
        if !*direct.borrow() {
            // What was read before is old by the time it is needed again. So is
            // an outage: the host that is followed has judged what it left
            // behind, and to doubt the next first read for it would keep
            // targets that leave much later.
            follower.next = None;
            follower.missing = MissingTargets::default();
            follower.lost = false;
        }
        if direct.wait_for(|direct| *direct).await.is_err() {
            return;
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
        follower.take(read, now);
        tokio::time::sleep(pause).await;
    }
}

impl TargetFollower {
    fn take(&mut self, read: Result<KeyedRead, LogError>, now: Instant) {
        match read {
            Ok(read) => self.take_records(&read, now),
            Err(LogError::Deleted) => {
                log::info!("targets: history lost, reading the newest records");
                self.next = None;
                self.history_lost = true;
            }
            Err(error) => {
                if !std::mem::replace(&mut self.lost, true) {
                    log::warn!(error:% = error; "targets: log lost");
                }
            }
        }
        // While the log cannot be read nobody can come back.
        if !self.lost {
            self.missing.drop_due(&self.copy, now);
        }
    }

    fn take_records(&mut self, read: &KeyedRead, now: Instant) {
        // What the first read after an outage says is gone may have lapsed only
        // because nobody could write. Whoever goes after that is gone at once: a
        // host that was cut off alone has to know a leaving target as early as
        // all others.
        let back = std::mem::take(&mut self.lost);
        if back {
            log::info!(next = read.next; "targets: log reached again");
        }
        if self.next.is_none() {
            let listed = read.records.iter().map(|record| record.key.as_str());
            // A host that begins to read for itself has no outage behind it:
            // what is not listed has left.
            match back || std::mem::take(&mut self.history_lost) {
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
