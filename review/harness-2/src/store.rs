//! The platform's store: a log with keyed topics of one partition each.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
    /// Whether its address is given up.
    is_closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Store {
    pub fn start() -> Self {
        Self::serve_topics(Arc::default())
    }

    /// Serves the same topics at a second address.
    pub fn serve_also(&self) -> Self {
        Self::serve_topics(self.topics.clone())
    }

    /// Gives this address up: nothing listens there any more.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().expect("the connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve_topics(topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            address,
            topics,
            is_closed: Arc::default(),
            open: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_closed.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    serving.open.lock().expect("the connections").push(kept);
                }
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a record of a key; no value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, vec![record]);
    }

    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("the topics");
        let topic = topics.entry(name.to_owned()).or_default();
        let first = topic.records.len();
        for record in records {
            let offset = topic.records.len();
            let length = record.first().map_or(0, |length| usize::from(*length));
            if record.len() > length {
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                match &record[length + 1..] {
                    [] => drop(topic.newest.remove(&key)),
                    value => drop(topic.newest.insert(key, (offset, value.to_vec()))),
                }
            }
            topic.records.push(record);
        }
        let end = topic.records.len();
        changed.notify_all();
        (first, end)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            let (status, kind, body) = self.answer(&request);
            if connection
                .respond(status, &[("Content-Type", kind)], &body)
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, &'static str, Vec<u8>) {
        let json = "application/json";
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/jackdawwick/log-read" => {
                let number = |name: &str| request.query(name).and_then(|text| text.parse().ok());
                let from = number("from").unwrap_or(0_usize);
                let wait = number("wait_ms").unwrap_or(0) as u64;
                match self.read(&topic, from, Duration::from_millis(wait)) {
                    Some(bytes) => (200, "application/octet-stream", bytes),
                    None => (410, json, b"{\"first_offset\":0}".to_vec()),
                }
            }
            "/jackdawwick/log-newest" => (200, json, self.newest(&topic).into_bytes()),
            "/jackdawwick/log-append" => {
                let mut records = Vec::new();
                let mut rest = &request.body[..];
                while let Some((length, tail)) = rest.split_first_chunk::<4>() {
                    let length = u32::from_be_bytes(*length) as usize;
                    if tail.len() < length {
                        return (400, json, b"{}".to_vec());
                    }
                    records.push(tail[..length].to_vec());
                    rest = &tail[length..];
                }
                let (first, end) = self.append(&topic, records);
                let body = format!("{{\"offset\":{first},\"end_offset\":{end}}}");
                (200, json, body.into_bytes())
            }
            _ => (404, json, b"{}".to_vec()),
        }
    }

    fn read(&self, name: &str, from: usize, wait: Duration) -> Option<Vec<u8>> {
        let (topics, changed) = &*self.topics;
        let until = Instant::now() + wait;
        let mut topics = topics.lock().expect("the topics");
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let end = topic.records.len();
            if from > end {
                return None;
            }
            let now = Instant::now();
            if from < end || now >= until {
                let mut bytes = (end as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in &topic.records[from..] {
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return Some(bytes);
            }
            topics = changed
                .wait_timeout(topics, until - now)
                .expect("the topics")
                .0;
        }
    }

    fn newest(&self, name: &str) -> String {
        let mut topics = self.topics.0.lock().expect("the topics");
        let topic = topics.entry(name.to_owned()).or_default();
        let items = topic.newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = topic.records.len();
        format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}")
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let sign = SIGNS[(group >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= three.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    text
}
