//! Follows the targets' heartbeats in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::LogRole;
use crate::entry::log_continuity::LogGap;
use crate::entry::log_copy::{LogCopy, LogTopic};
use crate::entry::log_role::wait_for_reader_role;
use crate::entry::target_starts::RecordTime;
use crate::ids::LogPosition;
use crate::platform::log_calls::{KeyedRead, LogClient, LogError};
use crate::platform::names;

/// Number of reads within the time in which a leaving target must be known. Every heartbeat
/// is a record, so that a read that waits for the next one would return 30 times a second
/// with 36 engines.
const READS_PER_DRAIN_TIME: u32 = 3;
/// Maximum pause between two reads: other hosts rely on this one and have to notice within
/// a second that it has lost the log.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Minimum pause between two reads.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Number of heartbeats for which the log has to be unreachable before entries can have
/// expired because of it. Entries expire after three missed heartbeats, and the last one
/// may have been written just before.
const EXPIRY_HEARTBEATS: u32 = 2;
/// Number of heartbeats after which an entry expires.
const LIFETIME_HEARTBEATS: u32 = 3;

/// How fast targets and their entries change.
#[derive(Debug, Clone, Copy)]
pub struct TargetTiming {
    /// Time within which a leaving target has to be known.
    pub drain: Duration,
    /// Time between two heartbeats of a target.
    pub heartbeat: Duration,
}

/// Applies what is read from the log of targets to a [`LogCopy`].
#[derive(Debug)]
pub struct TargetFollower {
    copy: Arc<LogCopy>,
    next: Option<LogPosition>,
    /// When the log was last read up to `next`.
    read_at: Option<Instant>,
    /// Consecutive failed reads.
    failures: u32,
    /// Time after the last heartbeat at which an entry expires.
    entry_lifetime: Duration,
}

/// Keeps the table of targets up to date while this host is a reader; runs forever.
pub async fn follow_targets(
    copy: Arc<LogCopy>,
    mut reader: LogClient,
    timing: TargetTiming,
    mut role: watch::Receiver<LogRole>,
) {
    let pause = (timing.drain / READS_PER_DRAIN_TIME).min(MAX_PAUSE);
    let mut follower = TargetFollower::open(copy, timing);
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
        let read = read.and_then(|read| follower.copy.check_era(read, LogTopic::Targets));
        let now = Instant::now();
        let is_position_lost = matches!(read, Err(LogError::Deleted | LogError::Restored(_)));
        let responded = read.is_ok() || is_position_lost;
        let elapsed = now.saturating_duration_since(started);
        follower
            .copy
            .record_call(LogTopic::Targets, elapsed, responded, now);
        follower.apply_read(read, now);
        let paused = match is_position_lost {
            // The newest records are available at once, and a target may have left
            // unnoticed.
            true => Duration::ZERO,
            false => follower.pause(current.retry_pause(pause, follower.failures), elapsed, now),
        };
        tokio::time::sleep(paused).await;
    }
}

impl TargetFollower {
    /// Creates a follower that has read nothing yet and applies what it reads to `copy`.
    pub fn open(copy: Arc<LogCopy>, timing: TargetTiming) -> Self {
        copy.set_expiry(timing.heartbeat * EXPIRY_HEARTBEATS);
        Self {
            copy,
            next: None,
            read_at: None,
            failures: 0,
            entry_lifetime: timing.heartbeat * LIFETIME_HEARTBEATS,
        }
    }

    /// Returns the position of the next read; `None` to read the newest record of each
    /// target.
    pub fn next(&self) -> Option<LogPosition> {
        self.next
    }

    /// Resets the position when another host is followed: by the time this host reads
    /// again, what it read before is outdated.
    pub fn reset_position(&mut self) {
        self.next = None;
        self.read_at = None;
        self.failures = 0;
        self.copy.end_own_reads();
    }

    /// Applies the result of a read.
    pub fn apply_read(&mut self, read: Result<KeyedRead, LogError>, now: Instant) {
        match read {
            Ok(read) => self.apply_records(&read, now),
            // The log was reachable all the while, so that targets missing from the newest
            // records have left.
            Err(LogError::Deleted) => {
                log::info!("targets: history lost, reading the newest records");
                self.next = None;
            }
            Err(LogError::Restored(era)) => {
                log::info!(era = era; "targets: log restored, reading the newest records");
                self.next = None;
            }
            Err(error) => {
                if self.failures == 0 {
                    log::warn!(error:% = error; "targets: log lost");
                    self.copy.observe_failed_read(now);
                }
                self.failures += 1;
            }
        }
    }

    /// Returns the pause until the next read, where the last read took `elapsed`.
    ///
    /// Reads are paced from their starts: otherwise a full pause would follow a read that
    /// timed out, and the end of an outage would be seen that much later. A read is made
    /// when a suspicion is due, so that the suspicion neither lasts longer nor rests on
    /// data that is half a second old.
    fn pause(&self, usual: Duration, elapsed: Duration, now: Instant) -> Duration {
        let paced = usual.saturating_sub(elapsed).max(MIN_PAUSE);
        // Without the log no suspicion can end.
        let due = match self.failures {
            0 => self.copy.next_due(),
            _ => None,
        };
        let due = due.map(|due| due.saturating_duration_since(now).max(MIN_PAUSE));
        due.map_or(paced, |due| due.min(paced))
    }

    fn apply_records(&mut self, read: &KeyedRead, now: Instant) {
        // Entries that are missing from the first read after a gap may have expired only
        // because no target could write. Entries that are dropped later are removed at
        // once.
        let regained = std::mem::take(&mut self.failures) > 0;
        let gap = self.copy.observe_read(now, regained);
        // The older copy may lack any target, however short the outage was.
        let restored = self.copy.observe_restore(read.next.era, now);
        let gap = restored.or(gap);
        if regained {
            let from = gap.and_then(|gap| gap.from);
            let away_ms = from.map(|from| now.saturating_duration_since(from).as_millis());
            log::info!(next = read.next.offset, era = read.next.era, away_ms:? = away_ms; "targets: log reached again");
        }
        // The newest records may be of any age.
        let time = RecordTime {
            written_after: self.next.and(self.read_at),
            read: now,
        };
        let is_list = self.next.is_none();
        if is_list {
            let listed = read.records.iter().map(|record| record.key.as_str());
            self.copy.apply_list(listed, read.next, gap);
        }
        // The records since this host's last own read cover a gap even if a neighbour
        // relayed the log in between.
        let before = self.read_at.replace(now);
        let is_after_last_read = |gap: &LogGap| before.is_some_and(|before| gap.until > before);
        let gap = gap.or_else(|| self.copy.last_gap().filter(is_after_last_read));
        self.next = Some(read.next);
        for record in &read.records {
            let (key, position) = (&record.key, record.position);
            match &record.value {
                None if gap.is_none() => {
                    self.copy
                        .apply_removal(key, position, self.entry_lifetime, now);
                }
                None => self.copy.apply_drop(key, position, gap),
                Some(value) if is_list => self.copy.observe_listed(key, position, value, time),
                Some(value) => self.copy.observe_target(key, position, value, time),
            }
        }
        self.copy.advance(read.next);
        self.copy.drop_due();
    }
}
