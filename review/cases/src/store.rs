//! A stand-in of the platform's store: a log with keyed topics of one partition each.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, respond};

pub const CONFIGURATION: &str = "keyed.op";
pub const TARGETS: &str = "keyed.servers";

#[derive(Debug, Clone)]
struct Record {
    at: Instant,
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Vec<Record>>,
    /// Whether it turns every call away, with status 503.
    is_away: bool,
    /// Value of the header `Store-Era`.
    era: u64,
}

impl State {
    fn end(&self, topic: &str) -> usize {
        self.topics.get(topic).map_or(0, Vec::len)
    }
}

/// The store. Nothing is trimmed: a case lasts for less time than records are kept.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts to serve a new store; returns it and its address.
    pub fn serve() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        store.lock().era = 1;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Appends a record, or a removal of its key; returns its offset, or `None` if the
    /// store is away.
    pub fn append(&self, topic: &str, key: &str, value: Option<Vec<u8>>) -> Option<usize> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push(Record {
            at: Instant::now(),
            key: key.to_owned(),
            value,
        });
        let offset = records.len() - 1;
        drop(state);
        self.changed.notify_all();
        Some(offset)
    }

    /// Turns all calls away from now on.
    pub fn leave(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from a copy that was made at `copied`: what was written since is gone.
    /// Returns how many records of targets are gone.
    pub fn come_back(&self, copied: Instant) -> usize {
        let mut state = self.lock();
        let before = state.end(TARGETS);
        for records in state.topics.values_mut() {
            records.retain(|record| record.at <= copied);
        }
        state.is_away = false;
        state.era += 1;
        let lost = before - state.end(TARGETS);
        drop(state);
        self.changed.notify_all();
        lost
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = self.lock().era.to_string();
            let headers = [("Store-Era", era.as_str())];
            if respond(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        if self.lock().is_away {
            return (503, Vec::new());
        }
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/jackdawwick/log-newest" => self.newest(topic),
            "/jackdawwick/log-read" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.read(topic, from, wait)
            }
            "/jackdawwick/log-append" if [CONFIGURATION, TARGETS].contains(&topic) => {
                (403, Vec::new())
            }
            "/jackdawwick/log-append" => self.append_record(topic, &request.body),
            _ => (404, Vec::new()),
        }
    }

    fn append_record(&self, topic: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let Some((key_length, rest)) = body.get(4..).and_then(<[u8]>::split_first) else {
            return (400, Vec::new());
        };
        let Some((key, value)) = rest.split_at_checked(usize::from(*key_length)) else {
            return (400, Vec::new());
        };
        let key = String::from_utf8_lossy(key);
        let value = (!value.is_empty()).then(|| value.to_vec());
        match self.append(topic, &key, value) {
            None => (503, Vec::new()),
            Some(offset) => {
                let end = offset + 1;
                let body = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
                (200, body.into_bytes())
            }
        }
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.is_away {
                return (503, Vec::new());
            }
            let end = state.end(topic);
            let left = until.saturating_duration_since(Instant::now());
            if from > end {
                return (410, b"{\"first_offset\":0}".to_vec());
            }
            if from < end || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
        let mut body = Vec::new();
        body.extend((state.end(topic) as u64).to_be_bytes());
        body.extend(0_u64.to_be_bytes());
        let records = state.topics.get(topic).map(Vec::as_slice);
        for record in records.unwrap_or_default().get(from..).unwrap_or_default() {
            let value = record.value.as_deref().unwrap_or_default();
            body.extend(((1 + record.key.len() + value.len()) as u32).to_be_bytes());
            body.push(record.key.len() as u8);
            body.extend(record.key.as_bytes());
            body.extend(value);
        }
        (200, body)
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let state = self.lock();
        let mut newest = BTreeMap::new();
        let records = state.topics.get(topic).map(Vec::as_slice);
        for (offset, record) in records.unwrap_or_default().iter().enumerate() {
            match &record.value {
                Some(value) => newest.insert(&record.key, (offset, value)),
                None => newest.remove(&record.key),
            };
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = state.end(topic);
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            text.push(match index <= chunk.len() {
                true => char::from(ALPHABET[digit as usize]),
                false => '=',
            });
        }
    }
    text
}
