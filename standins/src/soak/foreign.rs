//! Entries that another writer leaves among those of the targets.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};

use super::configuration::{ENGINE_SERVICE, LAYERS, PLAIN_SERVICE, TARGETS};
use super::log_service::BROKEN_KEY;
use super::run::{SoakRun, SoakSettings};

/// Levels of nesting that overflow the stack of a recursive decoder.
const NESTING: usize = 100_000;
/// Bytes of a long text: somewhat less than a record may hold.
const LONG_TEXT: usize = 200_000;
/// Time in which hosts read an entry, or are told of it.
const READ_TIME: Duration = Duration::from_millis(700);

/// When hosts read the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryMoment {
    /// While they run.
    Running,
    /// When they start.
    Start,
}

/// What became of the hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForeignReport {
    /// Entries after which a host did not serve a call of each kind.
    pub unserved: Vec<String>,
    /// Whether all hosts serve with targets that were started after the entries.
    pub reads_on: bool,
    /// Processes that ended by themselves.
    pub unexpected_exits: Vec<String>,
    /// Requests that running hosts sent to what the entries name.
    pub routed: usize,
    /// Number of entries.
    pub entries: usize,
}

/// Writes odd entries one after the other, each alone. Hosts read them while they run, or are
/// killed and start with each.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_foreign_entries(
    settings: SoakSettings,
    moment: EntryMoment,
) -> io::Result<ForeignReport> {
    let mut run = SoakRun::open_served(settings).await?;
    let mut unserved = Vec::new();
    let entries = odd_entries();
    let count = entries.len();
    for (name, key, value) in entries {
        run.topics.append(TARGETS, key, Some(Bytes::from(value)));
        match moment {
            EntryMoment::Running => tokio::time::sleep(READ_TIME).await,
            EntryMoment::Start => run.restart_all().await?,
        }
        run.supervise_hosts(Instant::now()).await?;
        if !run.wait_until_served().await {
            unserved.push(name);
        }
        run.topics.append(TARGETS, key, None);
    }
    // Only hosts that still read the entries know the new targets.
    for index in 0..run.targets.len() {
        if run.targets[index].spec.service == PLAIN_SERVICE {
            run.targets[index].crash();
            run.replace(index).await?;
        }
    }
    let reads_on = run.wait_until_served().await;
    run.supervise_hosts(Instant::now()).await?;
    Ok(ForeignReport {
        unserved,
        reads_on,
        routed: count_routed(&run)?,
        unexpected_exits: std::mem::take(&mut run.unexpected_exits),
        entries: count,
    })
}

/// Counts the requests that the present processes sent to what an odd entry names.
fn count_routed(run: &SoakRun) -> io::Result<usize> {
    let mut routed = 0;
    for host in &run.hosts {
        let text = host.host.log_text()?;
        let lines = text.lines().filter(|line| line.contains("\"routed\""));
        let odd = lines.filter(|line| line.contains("\"target_id\":\"odd"));
        routed += odd.count();
    }
    Ok(routed)
}

/// Returns the entries: a name, the key and the value of each.
fn odd_entries() -> Vec<(String, &'static str, Vec<u8>)> {
    let key = "odd";
    let open = "[".repeat(NESTING);
    let closed = format!("{open}{}", "]".repeat(NESTING));
    let long = format!("\"{}\"", "a".repeat(LONG_TEXT));
    let beyond = format!("{{\"from\":0,\"to\":{}}}", LAYERS + 1);
    let contents = [
        ("unknown", long.as_str()),
        ("kind", long.as_str()),
        ("layers", beyond.as_str()),
        ("unknown", open.as_str()),
        ("unknown", closed.as_str()),
        ("models", closed.as_str()),
        ("layers", closed.as_str()),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"127.0.0.1:70000\""),
        ("address", "\"0.0.0.0:80\""),
        ("sequence", "18446744073709551616"),
        ("sequence", "18446744073709551615"),
        ("sequence", "1e400"),
        ("sequence", "-1"),
        ("born", "18446744073709551615"),
        ("cold_remaining_ms", "1e400"),
        ("layers", "{\"from\":0,\"to\":4294967295}"),
        ("state", "\"asleep\""),
        ("service", "7"),
    ];
    let fields = contents.map(|(field, content)| {
        let shown = content.chars().take(30).collect::<String>();
        let value = entry_with(field, content);
        (format!("{field} {shown}"), key, value)
    });
    let mut entries = fields.to_vec();
    entries.push(("a deep value".to_owned(), key, closed.into_bytes()));
    entries.push(("no text".to_owned(), key, vec![0xff, 0xfe, 0]));
    let sound = entry().to_string().into_bytes();
    entries.push(("a broken record".to_owned(), BROKEN_KEY, sound.clone()));
    entries.push(("an empty key".to_owned(), "", sound.clone()));
    entries.push(("a key with a line end".to_owned(), "odd\nkey", sound));
    entries
}

/// Returns an entry of an engine that nothing listens for.
fn entry() -> Value {
    json!({
        "service": ENGINE_SERVICE, "address": "127.0.0.1:9", "zone": "zone-0", "kind": "fast",
        "state": "ready", "version": "v1", "slots": 64, "cold_remaining_ms": 0, "sequence": 1,
    })
}

/// Returns the text of an entry whose field holds `content`, which need not be valid.
fn entry_with(field: &str, content: &str) -> Vec<u8> {
    let mut entry = entry();
    if let Some(fields) = entry.as_object_mut() {
        fields.remove(field);
    }
    let text = entry.to_string();
    let rest = text.strip_prefix('{').unwrap_or_default();
    format!("{{\"{field}\":{content},{rest}").into_bytes()
}
