//! Follows the operators' configuration.

use std::sync::Arc;
use std::time::Duration;

use crate::forward::ServingTables;
use crate::ids::LogOffset;
use crate::platform::configuration_record::parse_configuration;
use crate::platform::log_calls::{KeyedRead, LogError, LogReader};
use crate::platform::names;

/// How long a read waits for a change. Shorter than the time after which idle
/// connections go silent in firewalls; each return costs one call.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read: a configuration has to be in force within two
/// seconds of the store's return.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Keeps the configuration in force up to date, for ever.
pub(super) async fn follow_configuration(tables: Arc<ServingTables>, mut reader: LogReader) {
    let mut next: Option<LogOffset> = None;
    let mut lost = false;
    loop {
        let read = read_on(&mut reader, next).await;
        match read {
            Ok(read) => {
                if std::mem::take(&mut lost) {
                    log::info!(next = read.next; "configuration: log reached again");
                }
                next = Some(read.next);
                apply(&tables, &read);
            }
            // The history is gone: start over from the newest of each key.
            Err(LogError::Deleted) => next = None,
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(error:% = error; "configuration: log lost");
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_on(reader: &mut LogReader, next: Option<LogOffset>) -> Result<KeyedRead, LogError> {
    match next {
        None => reader.newest(names::CONFIGURATION_TOPIC).await,
        Some(next) => {
            reader
                .read(names::CONFIGURATION_TOPIC, next, READ_WAIT)
                .await
        }
    }
}

/// Puts the newest configuration in force, if it is newer than the one that is.
///
/// After the log lost its history, or on a read that lags behind, an older
/// version can show up again; it must not be served a second time.
fn apply(tables: &ServingTables, read: &KeyedRead) {
    let records = read.records.iter();
    let records = records.filter(|record| record.key == names::CONFIGURATION_KEY);
    for value in records.filter_map(|record| record.value.as_ref()) {
        match parse_configuration(value) {
            Ok(parsed) => {
                let known = tables
                    .configuration
                    .load()
                    .as_ref()
                    .map(|known| known.version);
                if known.is_some_and(|known| parsed.version <= known) {
                    continue;
                }
                let routes = parsed.routes.values().map(Vec::len).sum::<usize>();
                log::info!(
                    version = parsed.version, before:? = known, routes = routes;
                    "configuration in force"
                );
                tables.configuration.store(Some(Arc::new(parsed)));
            }
            Err(error) => log::error!(error:% = error; "configuration cannot be read"),
        }
    }
}
