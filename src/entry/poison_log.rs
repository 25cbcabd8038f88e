//! Keeps poison requests in the platform's log, so that they outlive a restart of all hosts
//! and are known in a zone that reaches the log but no other zone.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::sync::watch;

use crate::entry::LogRole;
use crate::entry::log_copy::{LogCopy, LogTopic};
use crate::entry::log_role::wait_for_reader_role;
use crate::forward::ServingTables;
use crate::ids::{LogPosition, SuspectKey};
use crate::platform::log_calls::{KeyedRead, KeyedRecord, LogClient, LogError};
use crate::platform::{names, poison_record};
use crate::poison::{LogChange, key_text};

/// Maximum time that a read waits for a record. Records are rare, each read costs money,
/// and a silent connection is noticed after this time.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call: restarted hosts have to know what is refused within three
/// seconds of the log's return.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Time for which a host has to be a reader before it reads. After a start of all hosts
/// each reads the log for itself until it knows another host, within a second; what is
/// refused has to be known after three.
const START_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of the random delay before a write that another host may also make: the
/// readers of all zones receive a poison request within 1.3 s of each other, and a record
/// that one has written reaches the others within milliseconds.
const WRITE_PAUSE: Duration = Duration::from_millis(1500);
/// Interval at which a change that comes from the passage of time is noticed: a part is
/// refused a second after the end that proves it.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Applies the poison requests in the log while this host is a reader; runs forever.
pub(super) async fn follow_poison(
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    mut client: LogClient,
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
        if next.is_none() {
            tokio::time::sleep(START_DELAY).await;
            if !role.borrow().is_reader() {
                continue;
            }
        }
        let read = match next {
            None => client.newest(names::POISON_TOPIC).await,
            Some(next) => client.read(names::POISON_TOPIC, next, READ_WAIT).await,
        };
        match read.and_then(|read| copy.check_era(read, LogTopic::PoisonRequests)) {
            Ok(read) => {
                failures = 0;
                apply_records(&tables, &read);
                next = Some(read.next);
                // Only now is it known which changes the log lacks.
                tables.poison_updates.notify_waiters();
            }
            Err(LogError::Restored(_)) => next = None,
            Err(error) => {
                // The newest records are read again, also if the history has been deleted.
                next = None;
                if failures == 0 {
                    log::warn!(error:% = error; "poison requests: log lost");
                }
                failures += 1;
                tokio::time::sleep(current.retry_pause(RETRY_PAUSE, failures)).await;
            }
        }
    }
}

fn apply_records(tables: &ServingTables, read: &KeyedRead) {
    for record in &read.records {
        if let Err(error) = apply_record(tables, record) {
            tables.metrics.unreadable_record("poison");
            log::warn!(key:% = record.key, error:% = error; "poison request cannot be read");
        }
    }
}

fn apply_record(tables: &ServingTables, record: &KeyedRecord) -> Result<(), String> {
    let suspect = poison_record::parse_key(&record.key)?;
    let evidence = match &record.value {
        None => Vec::new(),
        Some(value) => poison_record::parse_poison(suspect, value, SystemTime::now())?,
    };
    let mut poison = tables.poison.lock();
    let refused = poison.merge(&evidence, Instant::now());
    poison.set_in_log(suspect, evidence.len());
    drop(poison);
    log_refused(tables, &refused, "log");
    Ok(())
}

/// Writes to the log what it lacks on poison requests while this host is a reader; runs
/// forever.
pub async fn write_poison(
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    mut client: LogClient,
    mut role: watch::Receiver<LogRole>,
) {
    loop {
        let updates = tables.poison_updates.notified();
        if tables.poison.lock().log_changes(Instant::now()).is_empty() {
            let _ = tokio::time::timeout(CHECK_INTERVAL, updates).await;
            continue;
        }
        if wait_for_reader_role(&mut role).await.is_none() {
            return;
        }
        // The random delay keeps the readers from writing at the same moment.
        tokio::time::sleep(WRITE_PAUSE.mul_f64(rand::random())).await;
        let changes = tables.poison.lock().log_changes(Instant::now());
        for change in changes {
            if let Err(error) = write_change(&tables, &copy, &mut client, &change).await {
                log::warn!(
                    key:% = key_text(change.suspect), error:% = error;
                    "poison request not written to the log yet"
                );
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn write_change(
    tables: &ServingTables,
    copy: &LogCopy,
    client: &mut LogClient,
    change: &LogChange,
) -> Result<(), String> {
    let key = key_text(change.suspect);
    let value = match change.ends.as_slice() {
        [] => None,
        ends => Some(poison_record::poison_value(ends, SystemTime::now())?),
    };
    let appended = client.append(names::POISON_TOPIC, &key, value.as_deref());
    let era = appended.await.map_err(|error| error.to_string())?;
    // A record that the log took before a restore may be gone with it.
    let known = copy.observe_era(era, LogTopic::PoisonRequests.name());
    if known != era {
        return Err(format!("written in era {era}, but era {known} is known"));
    }
    let named = change.ends.len();
    tables.poison.lock().set_in_log(change.suspect, named);
    log::info!(key:% = key, targets = named; "poison request written to the log");
    Ok(())
}

/// Logs the requests that are refused from now on because of evidence from `source`.
pub(super) fn log_refused(tables: &ServingTables, refused: &[SuspectKey], source: &str) {
    for suspect in refused {
        log::info!(
            key:% = key_text(*suspect), source:% = source;
            "poison request"
        );
    }
    if !refused.is_empty() {
        tables.poison_updates.notify_waiters();
    }
}
