//! A small deployment: a store, engines of one plain service, and entry hosts of one zone.

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Connection};
use crate::processes::{Arrival, Daemon, DaemonSpec, Engine, EngineSpec, free_port, wait_ready};
use crate::record::Record;
use crate::store::{CONFIGURATION, Store};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// A key that the configuration holds up to [`LAST_WITH_SECOND_KEY`].
pub const SECOND_KEY: &str = "anfqasnmgkcuyj8pjbvk";
const LAST_WITH_SECOND_KEY: u64 = 9;
pub const SERVICE: &str = "ledger-app";

/// The first version of the configuration.
pub const FIRST_VERSION: u64 = 7;

/// Returns a version of the configuration: one route of each kind to the service, and a route
/// for each version after the first.
pub fn configuration(version: u64) -> String {
    let added = (FIRST_VERSION + 1..=version).map(|version| {
        format!(
            r#"{{"name":"r-{version}","host":"ficu95.example","path_prefix":"/added/version-{version}/","kind":"safe","timeout_ms":6000,"target_latency_ms":150,"priority":2,"service":"ledger-app","max_attempts":2,"public":false,"sticky":false,"stream_resume":false}},"#
        )
    });
    let added = added.collect::<String>();
    let keys = match version {
        ..=LAST_WITH_SECOND_KEY => format!("\"{KEY}\",\"{SECOND_KEY}\""),
        _ => format!("\"{KEY}\""),
    };
    let rest = CONFIGURATION_REST;
    format!(
        "{{\"version\":{version},\"routes\":[{added}{rest}\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}

const CONFIGURATION_REST: &str = r#"
{"name":"r-read","host":"ficu95.example","path_prefix":"/read/","kind":"safe","timeout_ms":6000,"target_latency_ms":150,"priority":2,"service":"ledger-app","max_attempts":2,"public":false,"sticky":false,"stream_resume":false},
{"name":"r-charge","host":"ficu95.example","path_prefix":"/charge/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":150,"priority":2,"service":"ledger-app","max_attempts":1,"public":false,"sticky":false,"stream_resume":false},
{"name":"r-stream","host":"ficu95.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"gap_aim_ms":200,"priority":1,"service":"ledger-app","max_attempts":2,"public":false,"sticky":false,"stream_resume":true},
{"name":"r-stream-once","host":"ficu95.example","path_prefix":"/stream-once/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"gap_aim_ms":200,"priority":1,"service":"ledger-app","max_attempts":1,"public":false,"sticky":false,"stream_resume":false}],
"services":[{"name":"ledger-app","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"#;

pub struct Site {
    pub store: Arc<Store>,
    pub engines: Vec<Engine>,
    pub daemons: Vec<Daemon>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Record,
    folder: PathBuf,
}

impl Site {
    /// Starts everything and waits until callers can be served.
    pub fn open(engines: &[EngineSpec], daemons: usize) -> io::Result<Self> {
        let record = Record::open();
        let (store, address) = Store::serve()?;
        let first = configuration(FIRST_VERSION).into_bytes();
        store.append(CONFIGURATION, "config", Some(first));
        let arrivals = Arc::default();
        let started = engines
            .iter()
            .map(|spec| Engine::start(*spec, &store, &record, &arrivals));
        let engines = started.collect::<io::Result<Vec<_>>>()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let port = free_port("127.0.0.1")?;
        let specs = (0..daemons).map(|index| DaemonSpec::choose(index, "vake", port));
        let specs = specs.collect::<io::Result<Vec<_>>>()?;
        let seeds = specs.iter().take(3).map(|spec| spec.control);
        let seeds = seeds.collect::<Vec<_>>();
        let daemons = specs
            .iter()
            .map(|spec| spec.start(&seeds, address, &folder, true, &record));
        let daemons = daemons.collect::<io::Result<Vec<_>>>()?;
        let site = Self {
            store,
            engines,
            daemons,
            arrivals,
            record,
            folder,
        };
        wait_ready(&site.daemons)?;
        site.record.add("all daemons are ready");
        Ok(site)
    }

    /// Returns the requests that have reached engines.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock();
        arrivals.unwrap_or_else(|error| error.into_inner()).clone()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A request of a caller and what came of it.
#[derive(Debug)]
pub struct Call {
    pub id: String,
    pub sent: Instant,
    pub answer: io::Result<Answer>,
}

/// Sends one request over a new connection.
pub fn call(record: &Record, daemon: (&str, std::net::SocketAddr), path: &str, id: &str) -> Call {
    call_with_key(record, daemon, path, id, KEY)
}

/// Sends one request with a key over a new connection.
pub fn call_with_key(
    record: &Record,
    daemon: (&str, std::net::SocketAddr),
    path: &str,
    id: &str,
    key: &str,
) -> Call {
    let deadline = match path.starts_with("/stream") {
        true => Duration::from_secs(20),
        false => Duration::from_secs(6),
    };
    let method = if path.starts_with("/read") {
        "GET"
    } else {
        "POST"
    };
    let (key, left) = (format!("Bearer {key}"), deadline.as_millis().to_string());
    let headers = [
        ("Host", HOST),
        ("X-Jackdawwick-Attempt-Id", id),
        ("X-Jackdawwick-Deadline-Ms", left.as_str()),
        ("Authorization", key.as_str()),
    ];
    let sent = Instant::now();
    record.add_at(
        sent,
        format!("caller: sends {id} ({method} {path}) to {}", daemon.0),
    );
    let body = if method == "GET" { "" } else { "settle up" };
    let answer = Connection::open(daemon.1)
        .and_then(|mut open| open.call(method, path, &headers, body.as_bytes(), deadline));
    match &answer {
        Ok(answer) => record.add(format!(
            "caller: {id} gets {}, seal {}, {} bytes, {}",
            answer.status,
            answer.header("x-jackdawwick-server-seal").unwrap_or("none"),
            answer.body.len(),
            match answer.is_complete {
                true => "complete by its framing",
                false => "broken off",
            }
        )),
        Err(error) => record.add(format!("caller: {id} gets no answer: {error}")),
    }
    Call {
        id: id.to_owned(),
        sent,
        answer,
    }
}
