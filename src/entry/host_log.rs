//! Keeps the leaders of availability zones in the platform's log, where groups of hosts that
//! share no live seed find each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::log_copy::{LogCopy, LogTopic};
use crate::entry::peer_exchange::PeerState;
use crate::ids::LogPosition;
use crate::membership::{RegisteredHost, RegistryChange};
use crate::platform::log_calls::{KeyedRead, KeyedRecord, LogClient, LogError};
use crate::platform::{host_record, names};

/// Time for which a host has to be the leader of its zone before it reads: after a start of
/// all hosts each is, until it knows another one.
const START_DELAY: Duration = Duration::from_secs(2);
/// Interval at which a change of the leader is noticed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that a read waits for a record. Records are rare, and each read costs money.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Reads which hosts the log names, and registers this one, while it is the leader of its
/// zone; runs forever.
pub(super) async fn follow_hosts(
    peer_state: Arc<PeerState>,
    copy: Arc<LogCopy>,
    mut client: LogClient,
) {
    let mut leader_since = None::<Instant>;
    let mut next = None::<LogPosition>;
    let mut has_failed = false;
    loop {
        let now = Instant::now();
        if !peer_state.is_leader(now) {
            if leader_since.take().is_some() {
                peer_state.update_registry(|registry| registry.clear());
            }
            next = None;
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        if now < *leader_since.get_or_insert(now) + START_DELAY {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let result = match next {
            None => client.newest(names::HOST_TOPIC).await,
            Some(next) => client.read(names::HOST_TOPIC, next, READ_WAIT).await,
        };
        let result = match result.and_then(|read| copy.check_era(read, LogTopic::Hosts)) {
            Ok(read) => {
                apply_read(&peer_state, &read, next.is_none());
                next = Some(read.next);
                write_changes(&peer_state, &mut client).await
            }
            Err(error) => {
                next = None;
                Err(error)
            }
        };
        match result {
            Ok(()) | Err(LogError::Restored(_) | LogError::Deleted) => has_failed = false,
            Err(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    log::warn!(error:% = error; "hosts: log lost");
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply_read(peer_state: &PeerState, read: &KeyedRead, is_list: bool) {
    if is_list {
        let hosts = read.records.iter().filter_map(|record| {
            let value = record.value.as_ref()?;
            parse_host(peer_state, record, value)
        });
        let hosts = hosts.collect();
        peer_state.update_registry(|registry| registry.apply_list(hosts));
        return;
    }
    for record in &read.records {
        match &record.value {
            None => peer_state.update_registry(|registry| registry.remove(&record.key)),
            Some(value) => {
                if let Some(host) = parse_host(peer_state, record, value) {
                    peer_state.update_registry(|registry| registry.apply(host));
                }
            }
        }
    }
}

fn parse_host(
    peer_state: &PeerState,
    record: &KeyedRecord,
    value: &[u8],
) -> Option<RegisteredHost> {
    match host_record::parse_host(&record.key, value) {
        Ok(host) => Some(host),
        Err(error) => {
            let topic = LogTopic::Hosts.name();
            peer_state.tables().metrics.unreadable_record(topic);
            log::warn!(key:% = record.key, error:% = error; "host record cannot be read");
            None
        }
    }
}

/// Writes to the log what it lacks. The next read shows what was written.
async fn write_changes(peer_state: &PeerState, client: &mut LogClient) -> Result<(), LogError> {
    for change in peer_state.registry_changes(Instant::now()) {
        match change {
            RegistryChange::Register(own) => {
                let value = host_record::host_value(&own).map_err(LogError::Malformed)?;
                client
                    .append(names::HOST_TOPIC, &own.host, Some(&value))
                    .await?;
                log::info!(host:% = own.host, address:% = own.address; "host registered in the log");
            }
            RegistryChange::Remove(host) => {
                client.append(names::HOST_TOPIC, &host, None).await?;
                log::info!(host:% = host; "unreachable host removed from the log");
            }
        }
    }
    Ok(())
}
