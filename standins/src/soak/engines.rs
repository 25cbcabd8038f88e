//! Engines that each hold a range of layers, with the features that the soak needs.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;

use super::configuration::LAYERS;
use super::history::{AttemptRecord, RunRecord, TargetBreak};

/// Fault that a target shows on each of its requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TargetFault {
    /// Works correctly.
    #[default]
    None,
    /// Runs the request and closes the connection without a response.
    DropsResponse,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Closes the connection in the middle of the body.
    TruncatesBody,
    /// Refuses the request as not run.
    Refuses,
    /// Responds with status 500 at once.
    Fails,
    /// Refuses the request as not run and requests a pause of this length.
    RequestsPause(Duration),
    /// Runs the request and responds at this moment or later.
    AnswersFrom(Instant),
    /// Runs the request and responds after this time.
    AnswersAfter(Duration),
}

/// Current state of a target.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetState {
    pub(super) id: String,
    pub(super) layers: Option<(u32, u32)>,
    /// Number of heartbeats written since the target started.
    pub(super) heartbeats: u64,
    /// Delay after which the log takes the target's heartbeats, if it is slow to.
    pub(super) heartbeat_delay: Option<Duration>,
    /// Number of orders accepted since the target started.
    pub(super) orders: u64,
    /// Whether it is loading layers.
    pub(super) busy: bool,
    /// Whether it is leaving; its responses state so.
    pub(super) draining: bool,
    /// Whether it is alive and its link passes data.
    pub(super) reachable: bool,
    /// Whether it stands still: it is alive, accepts connections and sends nothing.
    pub(super) still: bool,
    pub(super) fault: TargetFault,
    /// Whether it fails every second call that it would run otherwise.
    pub(super) half_fails: bool,
    /// Limit that it advertises in its responses, as written in the header.
    pub(super) limit: Option<String>,
    /// Whether it has begun to run a request that crashes it.
    pub(super) poisoned: bool,
}

/// State of all targets by address, and the calls that they ran.
#[derive(Debug, Default)]
pub(super) struct TargetRegistry {
    pub(super) states: Mutex<HashMap<SocketAddr, TargetState>>,
    /// Running streams, by the id of the call and the first engine.
    paths: Mutex<HashMap<(String, SocketAddr), RunningPath>>,
    pub(super) runs: Mutex<Vec<RunRecord>>,
    pub(super) attempts: Mutex<Vec<AttemptRecord>>,
    pub(super) breaks: Mutex<Vec<TargetBreak>>,
    /// When engines began to run requests that crash them.
    pub(super) poison_arrivals: Mutex<Vec<Instant>>,
}

/// Path of a running stream.
#[derive(Debug, Clone)]
struct RunningPath {
    parts: Vec<PathPart>,
    /// Distinguishes a stream from an earlier one of the same call.
    number: u64,
}

/// Where an engine is in a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathPosition {
    /// It receives the requests and sends the events.
    First,
    /// It works for the first one.
    Later,
}

/// One engine of a path and its layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PathPart {
    pub(super) address: SocketAddr,
    pub(super) from: u32,
    pub(super) to: u32,
}

/// Address of all targets. A host with links of its own knows them under another address
/// and the same ports.
pub(super) const TARGET_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Parses a path as written in the header and in orders.
pub(super) fn parse_path(text: &str) -> Option<Vec<PathPart>> {
    let parts = text.split(',').map(|part| {
        let (address, range) = part.split_once('=')?;
        let (from, to) = range.split_once('-')?;
        let address = address.parse::<SocketAddr>().ok()?;
        Some(PathPart {
            address: SocketAddr::new(TARGET_IP, address.port()),
            from: from.parse().ok()?,
            to: to.parse().ok()?,
        })
    });
    parts.collect()
}

/// Returns whether the parts hold every layer once, in order.
pub(super) fn covers_all_layers(path: &[PathPart]) -> bool {
    let mut next = 0;
    for part in path {
        if part.from != next || part.to <= part.from {
            return false;
        }
        next = part.to;
    }
    next == LAYERS
}

impl TargetRegistry {
    pub(super) fn state(&self, address: SocketAddr) -> TargetState {
        let states = self.states.lock();
        states.get(&address).cloned().unwrap_or_default()
    }

    pub(super) fn update<U>(&self, address: SocketAddr, update: U)
    where
        U: FnOnce(&mut TargetState),
    {
        if let Some(state) = self.states.lock().get_mut(&address) {
            update(state);
        }
    }

    /// Returns the first engine of a path that cannot run its part.
    pub(super) fn unavailable(&self, path: &[PathPart]) -> Option<SocketAddr> {
        let is_available = |part: &&PathPart| {
            let state = self.state(part.address);
            let held = state
                .layers
                .is_some_and(|(from, to)| from <= part.from && part.to <= to);
            state.reachable && !state.draining && held
        };
        path.iter()
            .find(|part| !is_available(part))
            .map(|part| part.address)
    }

    /// Registers a stream that begins and returns its number.
    pub(super) fn begin_stream(&self, id: &str, parts: Vec<PathPart>) -> u64 {
        let number = self.runs.lock().len() as u64;
        if let Some(first) = parts.first() {
            let key = (id.to_owned(), first.address);
            self.paths.lock().insert(key, RunningPath { parts, number });
        }
        number
    }

    /// Removes a stream that has ended.
    pub(super) fn end_stream(&self, id: &str, number: u64) {
        let mut paths = self.paths.lock();
        paths.retain(|(other, _), path| other != id || path.number != number);
    }

    /// Records that a target breaks the connection of a call.
    pub(super) fn record_break(&self, id: &str) {
        let (id, at) = (id.to_owned(), Instant::now());
        self.breaks.lock().push(TargetBreak { id, at });
    }

    /// Records that the connections of a target end.
    pub(super) fn record_reset(&self, address: SocketAddr) {
        let target = self.state(address).id;
        let runs = self.runs.lock().clone();
        for run in runs.iter().filter(|run| run.target == target) {
            self.record_break(&run.id);
        }
    }

    /// Records that a target ends, and with it the calls whose path it is part of.
    pub(super) fn record_end(&self, address: SocketAddr) {
        self.record_reset(address);
        let paths = self.paths.lock().clone();
        for ((id, _), path) in paths {
            if path.parts.iter().any(|part| part.address == address) {
                self.record_break(&id);
            }
        }
    }

    /// Returns the first engine of a running stream that gives the one that sends its events
    /// no response, as it is unreachable or stands still.
    pub(super) fn stalled_at(&self, id: &str, number: u64) -> Option<SocketAddr> {
        let (sender, parts) = {
            let paths = self.paths.lock();
            let mut paths = paths.iter();
            let found = paths.find(|((other, _), path)| other == id && path.number == number)?;
            (found.0.1, found.1.parts.clone())
        };
        let mut addresses = parts.iter().map(|part| part.address);
        addresses.find(|address| {
            let state = self.state(*address);
            !state.reachable || (state.still && *address != sender)
        })
    }

    /// Returns the ids of the streams whose paths have an engine at `position`.
    pub(super) fn streams_at(&self, address: SocketAddr, position: PathPosition) -> Vec<String> {
        let paths = self.paths.lock();
        let passes = |path: &RunningPath| {
            let mut addresses = path.parts.iter().map(|part| part.address);
            let first = addresses.next();
            match position {
                PathPosition::First => first == Some(address),
                PathPosition::Later => addresses.any(|other| other == address),
            }
        };
        let passing = paths.iter().filter(|(_, path)| passes(path));
        passing.map(|((id, _), _)| id.clone()).collect()
    }

    /// Returns the report of an engine.
    pub(super) fn report(&self, address: SocketAddr) -> serde_json::Value {
        let state = self.state(address);
        let running = self.paths.lock().clone().into_iter();
        let own = running.filter(|((_, first), _)| *first == address);
        let stalled = own.filter_map(|((id, _), path)| {
            let at = self.stalled_at(&id, path.number)?;
            Some(json!({"id": id, "address": at}))
        });
        let layers = state
            .layers
            .map(|(from, to)| json!({"from": from, "to": to}));
        json!({
            "busy": state.busy, "sequence": state.orders, "running": 0, "queue_depth": 0,
            "kv_used": 0, "kv_total": 1_000_000, "pace": 1.0, "layers": layers,
            "stalled": stalled.collect::<Vec<_>>(),
        })
    }
}

#[derive(Deserialize)]
#[serde(tag = "operation", rename_all = "lowercase")]
enum OrderBody {
    Place {
        from: u32,
        to: u32,
        expected: Option<u64>,
    },
    Repath {
        id: String,
        path: String,
    },
}

/// Executes an order and returns the status and the body of the response.
pub(super) fn execute_order(
    registry: &Arc<TargetRegistry>,
    address: SocketAddr,
    body: &[u8],
) -> (u16, serde_json::Value) {
    match serde_json::from_slice::<OrderBody>(body) {
        Ok(OrderBody::Place { from, to, expected }) => {
            let state = registry.state(address);
            match expected {
                Some(expected) if expected != state.orders => (409, json!({})),
                _ if state.busy => (409, json!({})),
                _ => {
                    tokio::spawn(load_layers(registry.clone(), address, (from, to)));
                    (202, json!({}))
                }
            }
        }
        Ok(OrderBody::Repath { id, path }) => reroute_stream(registry, address, &id, &path),
        Err(error) => (400, json!({"error": error.to_string()})),
    }
}

async fn load_layers(registry: Arc<TargetRegistry>, address: SocketAddr, layers: (u32, u32)) {
    const LOAD_TIME: Duration = Duration::from_millis(150);
    let id = registry.state(address).id;
    registry.update(address, |state| {
        state.orders += 1;
        state.busy = true;
    });
    tokio::time::sleep(LOAD_TIME).await;
    registry.update(address, |state| {
        // A restart during the load leaves the engine empty.
        if state.id == id {
            state.layers = Some(layers);
            state.busy = false;
        }
    });
}

fn reroute_stream(
    registry: &TargetRegistry,
    address: SocketAddr,
    id: &str,
    path: &str,
) -> (u16, serde_json::Value) {
    let Some(path) = parse_path(path).filter(|path| covers_all_layers(path)) else {
        return (400, json!({}));
    };
    if let Some(unavailable) = registry.unavailable(&path) {
        return (409, json!({"address": unavailable}));
    }
    match registry.paths.lock().get_mut(&(id.to_owned(), address)) {
        Some(running) => {
            running.parts = path;
            (202, json!({}))
        }
        None => (404, json!({})),
    }
}
