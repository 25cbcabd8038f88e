//! In-memory log service with keyed topics of one partition each.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::Notify;

use super::configuration::TARGETS;
use super::engines::TARGET_IP;
use crate::faults::FaultSwitch;
use crate::http_server::{CallOutcome, HttpServer, ServedCall};

/// Faults of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LogFaults {
    /// Whether it refuses connections.
    pub(super) offline: bool,
    /// Whether it responds with 503.
    pub(super) busy: bool,
    /// Delay before each response.
    pub(super) delay: Duration,
}

/// Header with the number of restores from an older copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Interval at which copies are made.
const COPY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of copies that are kept, for ten seconds.
const MAX_COPIES: usize = 20;

#[derive(Debug, Default, Clone)]
struct Partition {
    /// Offset of the first retained record.
    first: u64,
    records: Vec<(String, Option<Bytes>)>,
    newest: BTreeMap<String, (u64, Bytes)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

type Partitions = HashMap<String, Partition>;

/// Key of a record that is shorter than its key, and whose newest value is not in base64.
pub(super) const BROKEN_KEY: &str = "broken";
/// The record: its length, the length of its key, and less than that.
const BROKEN_RECORD: [u8; 7] = [0, 0, 0, 3, 200, b'o', b'd'];

/// The topics of the service.
#[derive(Debug, Default)]
pub(super) struct LogTopics {
    partitions: Mutex<Partitions>,
    updates: Notify,
    /// Number of restores.
    era: AtomicU64,
    copies: Mutex<VecDeque<(Instant, Partitions)>>,
}

impl LogTopics {
    /// Appends a record; a record without a value removes its key.
    pub(super) fn append(&self, topic: &str, key: &str, value: Option<Bytes>) {
        let mut partitions = self.partitions.lock();
        let partition = partitions.entry(topic.to_owned()).or_default();
        let offset = partition.end();
        match &value {
            Some(value) => {
                let newest = (offset, value.clone());
                partition.newest.insert(key.to_owned(), newest);
            }
            None => {
                partition.newest.remove(key);
            }
        }
        partition.records.push((key.to_owned(), value));
        drop(partitions);
        self.updates.notify_waiters();
    }

    /// Makes a copy if the last one is old enough.
    pub(super) fn copy_if_due(&self, now: Instant) {
        let mut copies = self.copies.lock();
        if copies
            .back()
            .is_some_and(|(at, _)| now < *at + COPY_INTERVAL)
        {
            return;
        }
        copies.push_back((now, self.partitions.lock().clone()));
        if copies.len() > MAX_COPIES {
            copies.pop_front();
        }
    }

    /// Goes back to the newest copy of before `copied`, or to the oldest one. What was
    /// written since is lost, and its offsets are given out again.
    pub(super) fn restore(&self, copied: Instant) {
        let mut copies = self.copies.lock();
        let newer = copies.iter().filter(|(at, _)| *at > copied).count();
        let kept = (copies.len() - newer).max(1).min(copies.len());
        copies.truncate(kept);
        let Some((_, copy)) = copies.back() else {
            return;
        };
        *self.partitions.lock() = copy.clone();
        self.era.fetch_add(1, Ordering::Relaxed);
        drop(copies);
        self.updates.notify_waiters();
    }

    /// Returns the keys of a topic that have a value.
    pub(super) fn keys(&self, topic: &str) -> Vec<String> {
        let partitions = self.partitions.lock();
        let partition = partitions.get(topic).into_iter();
        let keys = partition.flat_map(|partition| partition.newest.keys());
        keys.cloned().collect()
    }

    /// Removes a key unless it has been written again since its record with `value`.
    pub(super) fn expire(&self, topic: &str, key: &str, value: &Bytes) {
        let is_newest = {
            let partitions = self.partitions.lock();
            let partition = partitions.get(topic);
            let newest = partition.and_then(|partition| partition.newest.get(key));
            newest.is_some_and(|(_, newest)| newest == value)
        };
        if is_newest {
            self.append(topic, key, None);
        }
    }

    /// Drops every record but the newest of each key.
    pub(super) fn truncate_history(&self) {
        for partition in self.partitions.lock().values_mut() {
            partition.first = partition.end();
            partition.records.clear();
        }
    }

    /// Reads records from an offset; returns `None` if the offset is no longer retained.
    fn read(&self, topic: &str, from: u64, targets: IpAddr) -> Option<(bool, Bytes)> {
        let partitions = self.partitions.lock();
        let empty = Partition::default();
        let partition = partitions.get(topic).unwrap_or(&empty);
        let skipped = usize::try_from(from.checked_sub(partition.first)?).ok()?;
        if from > partition.end() {
            return None;
        }
        let mut bytes = Vec::new();
        bytes.extend(partition.end().to_be_bytes());
        bytes.extend(partition.first.to_be_bytes());
        let records = partition.records.get(skipped..).unwrap_or_default();
        for (key, value) in records {
            let value = value.as_ref().map(|value| localized(topic, value, targets));
            let value = value.as_deref().unwrap_or_default();
            if key == BROKEN_KEY {
                bytes.extend(BROKEN_RECORD);
                continue;
            }
            let length = (1 + key.len() + value.len()) as u32;
            bytes.extend(length.to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        Some((!records.is_empty(), bytes.into()))
    }

    fn newest(&self, topic: &str, targets: IpAddr) -> serde_json::Value {
        use base64::Engine;
        use base64::engine::general_purpose::STANDARD;
        let partitions = self.partitions.lock();
        let partition = partitions.get(topic);
        let newest = partition.iter().flat_map(|partition| &partition.newest);
        let items = newest.map(|(key, (offset, value))| {
            let value = localized(topic, value, targets);
            let text = match key.as_str() {
                BROKEN_KEY => "***".to_owned(),
                _ => STANDARD.encode(value),
            };
            json!({"key": key, "value": text, "offset": offset})
        });
        json!({
            "items": items.collect::<Vec<_>>(),
            "has_more": false,
            "end_offset": partition.map_or(0, Partition::end),
        })
    }
}

/// Returns a record as a host sees it that reaches the targets at the address `targets`.
fn localized(topic: &str, value: &Bytes, targets: IpAddr) -> Bytes {
    match (topic, std::str::from_utf8(value)) {
        (TARGETS, Ok(text)) if targets != TARGET_IP => {
            let (own, local) = (format!("\"{TARGET_IP}:"), format!("\"{targets}:"));
            text.replace(&own, &local).into()
        }
        _ => value.clone(),
    }
}

/// Serves the topics over HTTP to hosts that reach the targets at the address `targets`.
///
/// # Errors
///
/// If no port can be listened on.
pub(super) async fn serve_log(
    topics: Arc<LogTopics>,
    faults: FaultSwitch<LogFaults>,
    targets: IpAddr,
) -> io::Result<HttpServer> {
    let switch = faults.clone();
    let handler = move |call| {
        let (topics, faults) = (topics.clone(), switch.get());
        async move {
            let era = topics.era.load(Ordering::Relaxed);
            let outcome = respond(topics, faults, targets, call).await;
            outcome.with_header(STORE_ERA, era.into())
        }
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpServer::bind(address, faults, |faults| faults.offline, handler).await
}

async fn respond(
    topics: Arc<LogTopics>,
    faults: LogFaults,
    targets: IpAddr,
    call: ServedCall,
) -> CallOutcome {
    tokio::time::sleep(faults.delay).await;
    let topic = call.query_text("topic").unwrap_or_default().to_owned();
    match call.path().as_slice() {
        _ if faults.busy => CallOutcome::empty(StatusCode::SERVICE_UNAVAILABLE),
        ["jackdawwick", "log-newest"] => CallOutcome::ok(&topics.newest(&topic, targets)),
        ["jackdawwick", "log-append"] => match decode_record(&call.body) {
            Some((key, value)) => {
                topics.append(&topic, &key, value);
                CallOutcome::ok(&json!({"offset": 0, "end_offset": 0}))
            }
            None => CallOutcome::empty(StatusCode::BAD_REQUEST),
        },
        ["jackdawwick", "log-read"] => {
            let from = call.query_number("from").unwrap_or(0);
            let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
            read_or_wait(&topics, &topic, from, wait, targets).await
        }
        _ => CallOutcome::empty(StatusCode::NOT_FOUND),
    }
}

/// Decodes the key and the value of the only record of an append: 4 bytes of length, 1
/// byte of key length, the key, the value.
fn decode_record(body: &Bytes) -> Option<(String, Option<Bytes>)> {
    let (length, record) = body.split_first_chunk::<4>()?;
    let whole = u32::from_be_bytes(*length) as usize == record.len();
    let (key_length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*key_length))?;
    let key = String::from_utf8(key.to_vec()).ok()?;
    let value = (!value.is_empty()).then(|| Bytes::copy_from_slice(value));
    whole.then_some((key, value))
}

async fn read_or_wait(
    topics: &LogTopics,
    topic: &str,
    from: u64,
    wait: Duration,
    targets: IpAddr,
) -> CallOutcome {
    let until = tokio::time::Instant::now() + wait;
    loop {
        let updates = topics.updates.notified();
        let Some((found, body)) = topics.read(topic, from, targets) else {
            return CallOutcome::empty(StatusCode::GONE);
        };
        if found || tokio::time::timeout_at(until, updates).await.is_err() {
            return CallOutcome::Respond {
                status: StatusCode::OK,
                body,
            };
        }
    }
}
