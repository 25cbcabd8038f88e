//! Follows the targets' heartbeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::collections::FastSet;
use crate::entry::log_copy::LogCopy;
use crate::ids::LogOffset;
use crate::platform::log_calls::{KeyedRead, LogError, LogReader};
use crate::platform::names;

/// Pause between two reads, in parts of the time within which a leaving
/// target must be known. Every heartbeat is a record, so a read that waits
/// for the next one would return 30 times a second with 36 engines.
const READS_PER_DRAIN: u32 = 3;
/// After the store's return an entry that is still missing is gone.
const RETURN_GRACE: Duration = Duration::from_millis(2500);

/// What the follower of heartbeats remembers.
struct TargetFollower {
    copy: Arc<LogCopy>,
    next: Option<LogOffset>,
    lost: bool,
    /// Entries that have not come back since the store's return, and until
    /// when they may.
    missing: Option<(Instant, FastSet<String>)>,
}

/// Keeps the table of targets up to date, for ever.
pub(super) async fn follow_targets(copy: Arc<LogCopy>, mut reader: LogReader, drain: Duration) {
    let pause = drain / READS_PER_DRAIN;
    let mut follower = TargetFollower {
        copy,
        next: None,
        lost: false,
        missing: None,
    };
    loop {
        let started = Instant::now();
        let read = match follower.next {
            None => reader.newest(names::TARGET_TOPIC).await,
            Some(next) => reader.read(names::TARGET_TOPIC, next, Duration::ZERO).await,
        };
        follower
            .copy
            .note_call("targets", started.elapsed(), read.is_ok());
        follower.take(read, Instant::now());
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
            }
            Err(error) => {
                if !std::mem::replace(&mut self.lost, true) {
                    log::warn!(error:% = error; "targets: log lost");
                }
            }
        }
        self.drop_missing(now);
    }

    fn take_records(&mut self, read: &KeyedRead, now: Instant) {
        if std::mem::take(&mut self.lost) {
            log::info!(next = read.next; "targets: log reached again");
        }
        if self.next.is_none() {
            self.expect_all(read, now);
        }
        self.next = Some(read.next);
        for record in &read.records {
            if let Some((_, missing)) = &mut self.missing {
                missing.remove(&record.key);
            }
            match &record.value {
                None => self.copy.remove_target(&record.key, "entry dropped"),
                Some(value) => self.copy.observe_target(&record.key, value),
            }
        }
    }

    /// After a fresh start of reading, whatever is not listed may be gone.
    fn expect_all(&mut self, read: &KeyedRead, now: Instant) {
        let known = self.copy.target_ids();
        let listed = read.records.iter().map(|record| record.key.as_str());
        let listed = listed.collect::<FastSet<_>>();
        let missing = known.iter().filter(|id| !listed.contains(&***id));
        let missing = missing.map(|id| id.to_string()).collect::<FastSet<_>>();
        if !missing.is_empty() {
            self.missing = Some((now + RETURN_GRACE, missing));
        }
    }

    fn drop_missing(&mut self, now: Instant) {
        if self.missing.as_ref().is_none_or(|(until, _)| now < *until) {
            return;
        }
        let missing = self
            .missing
            .take()
            .map(|(_, missing)| missing)
            .unwrap_or_default();
        for id in missing {
            self.copy
                .remove_target(&id, "missing after the store's return");
        }
    }
}
