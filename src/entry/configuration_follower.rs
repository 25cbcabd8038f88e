//! Follows the operators' configuration in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::LogRole;
use crate::entry::log_copy::{LogCopy, LogTopic};
use crate::entry::log_role::wait_for_reader_role;
use crate::ids::LogPosition;
use crate::platform::log_calls::{KeyedRead, LogClient, LogError};
use crate::platform::names;

/// Maximum time that a read waits for a change. A connection can go silent without a reset;
/// with a wait of ten seconds, a host and all that follow it would serve an old
/// configuration for as long. With this wait and the timeout of a call, a silent connection
/// is noticed after 1.2 s; a configuration has to take effect within two seconds.
const READ_WAIT: Duration = Duration::from_millis(600);
/// Pause after a failed read: a configuration has to take effect within two seconds of the
/// log's return.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed read while no configuration is known, as every caller is refused
/// until then.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Keeps the configuration up to date while this host is a reader; runs forever.
pub async fn follow_configuration(
    copy: Arc<LogCopy>,
    mut reader: LogClient,
    mut role: watch::Receiver<LogRole>,
) {
    let mut next: Option<LogPosition> = None;
    let mut failures = 0;
    loop {
        if !role.borrow().is_reader() {
            next = None;
        }
        let Some(current) = wait_for_reader_role(&mut role).await else {
            return;
        };
        let started = Instant::now();
        let read = read_next(&mut reader, next).await;
        let read = read.and_then(|read| copy.check_era(read, LogTopic::Configuration));
        // A read that waits for a change says nothing about the latency of the log.
        let responded = matches!(read, Ok(_) | Err(LogError::Deleted | LogError::Restored(_)));
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(started);
        let elapsed = if next.is_none() {
            elapsed
        } else {
            Duration::ZERO
        };
        copy.record_call(LogTopic::Configuration, elapsed, responded, now);
        match read {
            Ok(read) => {
                if std::mem::take(&mut failures) > 0 {
                    log::info!(
                        next = read.next.offset, era = read.next.era;
                        "configuration: log reached again"
                    );
                }
                next = Some(read.next);
                apply(&copy, &read);
            }
            // The position is lost: start over from the newest record of each key.
            Err(LogError::Deleted | LogError::Restored(_)) => next = None,
            Err(error) => {
                if failures == 0 {
                    log::warn!(error:% = error; "configuration: log lost");
                }
                failures += 1;
                let usual = match copy.configuration_version() {
                    0 => FIRST_RETRY_PAUSE,
                    _ => RETRY_PAUSE,
                };
                tokio::time::sleep(current.retry_pause(usual, failures)).await;
            }
        }
    }
}

async fn read_next(
    reader: &mut LogClient,
    next: Option<LogPosition>,
) -> Result<KeyedRead, LogError> {
    match next {
        None => reader.newest(names::CONFIGURATION_TOPIC).await,
        Some(next) => {
            reader
                .read(names::CONFIGURATION_TOPIC, next, READ_WAIT)
                .await
        }
    }
}

fn apply(copy: &LogCopy, read: &KeyedRead) {
    let records = read.records.iter();
    let records = records.filter(|record| record.key == names::CONFIGURATION_KEY);
    for value in records.filter_map(|record| record.value.as_ref()) {
        copy.apply_configuration(value, "log");
    }
}
