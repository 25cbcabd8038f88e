//! Client of the platform's keyed log: one connection, one call at a time.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;

use crate::buffer::collect_limited;
use crate::forward::socket;
use crate::ids::{LogEra, LogOffset, LogPosition};
use crate::platform::names;

/// Maximum size of a response, in bytes: the limit of a read plus the overhead of JSON.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Reason why a call to the log service failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// No connection was made in time.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection broke, or no response arrived in time.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The service refused the call.
    #[error("refused with status {0}")]
    Status(u16),
    /// The requested records are no longer retained.
    #[error("the requested records were deleted")]
    Deleted,
    /// The log was restored from an older copy since the requested offset was read. The
    /// offset may now name another record.
    #[error("the log was restored from an older copy, now in era {0}")]
    Restored(LogEra),
    /// The response describes the log before a restore that is already known.
    #[error("the response is of era {era}, but era {known} is known")]
    Outdated {
        /// Era of the response.
        era: LogEra,
        /// Latest known era.
        known: LogEra,
    },
    /// The response is not in the service's format.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// A record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its place in the partition.
    pub position: LogPosition,
    /// Its key.
    pub key: String,
    /// Its value; `None` if the key was dropped.
    pub value: Option<Vec<u8>>,
}

/// Records read from a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRead {
    /// Position from which the next read continues.
    pub next: LogPosition,
    /// The records, in order.
    pub records: Vec<KeyedRecord>,
}

/// Client of keyed topics of the log.
#[derive(Debug)]
pub struct LogClient {
    address: SocketAddr,
    connection: Option<hyper::client::conn::http1::SendRequest<Full<Bytes>>>,
    timeouts: CallTimeouts,
}

/// Timeouts of the parts of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimeouts {
    /// For making a connection.
    pub connect: Duration,
    /// For a response, without the time that a read may wait for a record.
    pub response: Duration,
    /// For a page of the newest records of all keys.
    pub newest: Duration,
}

/// Body of a response and the era of the log that it describes.
struct LogResponse {
    era: LogEra,
    body: Bytes,
}

/// One call to send.
struct LogCall {
    method: Method,
    path: String,
    body: Bytes,
}

#[derive(Deserialize)]
struct NewestBody {
    items: Vec<ItemBody>,
    #[serde(default)]
    has_more: bool,
    end_offset: LogOffset,
}

#[derive(Deserialize)]
struct ItemBody {
    key: String,
    #[serde(default)]
    value: Option<String>,
    offset: LogOffset,
}

impl LogClient {
    /// Creates a client; it connects on its first call.
    pub fn open(address: SocketAddr, timeouts: CallTimeouts) -> Self {
        Self {
            address,
            connection: None,
            timeouts,
        }
    }

    /// Reads the newest record of each key, and the position from which reading continues.
    ///
    /// # Errors
    ///
    /// Fails if the request of any page fails, or with `Restored` if the log was restored
    /// between two pages.
    pub async fn newest(&mut self, topic: &str) -> Result<KeyedRead, LogError> {
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        // The pages are no consistent snapshot. Continuing from the end offset of the
        // first page repeats records of later pages, but misses none.
        let mut next: Option<LogPosition> = None;
        loop {
            let from = after
                .as_ref()
                .map(|key| format!("&after={}", utf8_percent_encode(key, NON_ALPHANUMERIC)))
                .unwrap_or_default();
            let path = format!("/jackdawwick/log-newest?topic={topic}&part=0{from}");
            let response = self.get(path, self.timeouts.newest).await?;
            let body: NewestBody = serde_json::from_slice(&response.body)
                .map_err(|error| LogError::Malformed(error.to_string()))?;
            let end = LogPosition {
                era: response.era,
                offset: body.end_offset,
            };
            if next.get_or_insert(end).era != end.era {
                return Err(LogError::Restored(end.era));
            }
            after = body.items.last().map(|item| item.key.clone());
            for item in body.items {
                records.push(decode_item(end.era, item));
            }
            if !body.has_more || after.is_none() {
                break;
            }
        }
        Ok(KeyedRead {
            next: next.unwrap_or_default(),
            records,
        })
    }

    /// Reads records from a position on; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Fails with `Deleted` if the offset is no longer retained, with `Restored` if the
    /// response is of another era than the position, and otherwise if the call fails.
    pub async fn read(
        &mut self,
        topic: &str,
        from: LogPosition,
        wait: Duration,
    ) -> Result<KeyedRead, LogError> {
        let (offset, wait_ms) = (from.offset, wait.as_millis());
        let path =
            format!("/jackdawwick/log-read?topic={topic}&part=0&from={offset}&wait_ms={wait_ms}");
        let response = self.get(path, self.timeouts.response + wait).await?;
        if response.era != from.era {
            return Err(LogError::Restored(response.era));
        }
        decode_records(from, &response.body)
    }

    /// Appends a record of a key, or drops the key if there is no value; returns the era of
    /// the log that took it. A failed call may have taken effect; it can be repeated,
    /// because a duplicate record changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<LogEra, LogError> {
        let record = encode_keyed(key, value.unwrap_or_default())?;
        let call = LogCall {
            method: Method::POST,
            path: format!("/jackdawwick/log-append?topic={topic}&part=0"),
            body: record.into(),
        };
        let response = self.call(call, self.timeouts.response).await?;
        Ok(response.era)
    }

    async fn get(&mut self, path: String, limit: Duration) -> Result<LogResponse, LogError> {
        let call = LogCall {
            method: Method::GET,
            path,
            body: Bytes::new(),
        };
        self.call(call, limit).await
    }

    async fn call(&mut self, call: LogCall, limit: Duration) -> Result<LogResponse, LogError> {
        let result = tokio::time::timeout(limit, self.exchange(call)).await;
        let result = result.unwrap_or_else(|_| Err(LogError::NoResponse("timeout".to_owned())));
        // After a lost or malformed response the connection cannot be used.
        if matches!(
            result,
            Err(LogError::NoResponse(_) | LogError::Malformed(_))
        ) {
            self.connection = None;
        }
        result
    }

    async fn exchange(&mut self, call: LogCall) -> Result<LogResponse, LogError> {
        if self
            .connection
            .as_ref()
            .is_none_or(|sender| sender.is_closed())
        {
            self.connection = Some(self.connect().await?);
        }
        let no_response = |error: hyper::Error| LogError::NoResponse(error.to_string());
        let Some(sender) = self.connection.as_mut() else {
            return Err(LogError::Connect("no connection".to_owned()));
        };
        sender.ready().await.map_err(no_response)?;
        let request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::new(call.body))
            .map_err(|error| LogError::Malformed(error.to_string()))?;
        let response = sender.send_request(request).await.map_err(no_response)?;
        let status = response.status();
        let era = decode_era(response.headers())?;
        let body = collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await;
        let bytes = body.map_err(|error| LogError::NoResponse(error.to_string()))?;
        match status {
            StatusCode::OK => Ok(LogResponse { era, body: bytes }),
            StatusCode::GONE => Err(LogError::Deleted),
            status => Err(LogError::Status(status.as_u16())),
        }
    }

    async fn connect(
        &self,
    ) -> Result<hyper::client::conn::http1::SendRequest<Full<Bytes>>, LogError> {
        let connected = socket::connect(self.address, self.timeouts.connect).await;
        let stream = connected.map_err(|error| LogError::Connect(error.to_string()))?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let negotiated = hyper::client::conn::http1::handshake(io).await;
        let (sender, connection) =
            negotiated.map_err(|error| LogError::Connect(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the log service failed: {error}");
            }
        });
        Ok(sender)
    }
}

/// Decodes the era of the log; 0 if the service does not state it.
fn decode_era(headers: &http::HeaderMap) -> Result<LogEra, LogError> {
    let Some(value) = headers.get(names::STORE_ERA) else {
        return Ok(0);
    };
    let era = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    era.ok_or_else(|| LogError::Malformed(format!("{} is not a number", names::STORE_ERA)))
}

/// Decodes an item of a page. A value that is not in base64 is kept as it is: its reader refuses
/// it, and reads the others.
fn decode_item(era: LogEra, item: ItemBody) -> KeyedRecord {
    let decode = |text: String| STANDARD.decode(&text).unwrap_or_else(|_| text.into_bytes());
    KeyedRecord {
        position: LogPosition {
            era,
            offset: item.offset,
        },
        key: item.key,
        value: item.value.map(decode),
    }
}

/// Decodes a read: the end offset and the first offset (8 bytes each, big-endian), then
/// the records (4 bytes of length, 1 byte of key length, the key, the value).
fn decode_records(from: LogPosition, bytes: &[u8]) -> Result<KeyedRead, LogError> {
    let malformed = |what: &str| LogError::Malformed(what.to_owned());
    let (_end, rest) = split_number(bytes).ok_or_else(|| malformed("the end offset is missing"))?;
    let (first, mut rest) =
        split_number(rest).ok_or_else(|| malformed("the first offset is missing"))?;
    if first > from.offset {
        return Err(LogError::Deleted);
    }
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (length, tail) = rest
            .split_first_chunk::<4>()
            .ok_or_else(|| malformed("a record length is truncated"))?;
        let length = u32::from_be_bytes(*length) as usize;
        let (record, tail) = tail
            .split_at_checked(length)
            .ok_or_else(|| malformed("a record is truncated"))?;
        let position = LogPosition {
            offset: from.offset + records.len() as u64,
            ..from
        };
        records.push(decode_keyed(position, record));
        rest = tail;
    }
    Ok(KeyedRead {
        next: LogPosition {
            offset: from.offset + records.len() as u64,
            ..from
        },
        records,
    })
}

/// Encodes one record: 4 bytes of length, 1 byte of key length, the key, the value.
fn encode_keyed(key: &str, value: &[u8]) -> Result<Vec<u8>, LogError> {
    let too_long = |_| LogError::Malformed("the record is too long".to_owned());
    let key_length = u8::try_from(key.len()).map_err(too_long)?;
    let length = u32::try_from(1 + key.len() + value.len()).map_err(too_long)?;
    let mut record = Vec::with_capacity(5 + key.len() + value.len());
    record.extend_from_slice(&length.to_be_bytes());
    record.push(key_length);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    Ok(record)
}

fn split_number(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (number, rest) = bytes.split_first_chunk::<8>()?;
    Some((u64::from_be_bytes(*number), rest))
}

/// Decodes one record. One without a whole key has an empty key, which no entry has: it must
/// not keep the records after it from being read.
fn decode_keyed(position: LogPosition, record: &[u8]) -> KeyedRecord {
    let parts = record
        .split_first()
        .and_then(|(length, rest)| rest.split_at_checked(usize::from(*length)));
    let (key, value) = parts.unwrap_or((&[], record));
    KeyedRecord {
        position,
        key: String::from_utf8_lossy(key).into_owned(),
        value: (!value.is_empty()).then(|| value.to_vec()),
    }
}
