//! A target's heartbeat as it stands in the log, and its report.

use serde::Deserialize;

use crate::fleet::{EngineReport, LayerRange, TargetEntry};
use crate::ids::TargetId;

/// Between the platform's id of a target and the time of its start in a
/// [`TargetId`].
const START_SEPARATOR: char = '@';

/// A heartbeat's value. Every field that targets always write is required,
/// used here or not: a value that lacks one is another writer's, and names no
/// target.
#[derive(Deserialize)]
struct TargetBody {
    service: String,
    address: std::net::SocketAddr,
    zone: String,
    #[serde(rename = "version")]
    _software: String,
    #[serde(rename = "slots")]
    _slots: u64,
    #[serde(rename = "cold_remaining_ms")]
    _cold_remaining: f64,
    /// Counts heartbeats. The report's field of the same name counts orders.
    #[serde(rename = "sequence")]
    _heartbeats: u64,
    state: TargetCondition,
    #[serde(default)]
    kind: Option<String>,
    #[serde(default)]
    layers: Option<LayersBody>,
    #[serde(default)]
    models: Vec<ModelBody>,
    /// Unix millisecond of the target's start; not written by all targets.
    #[serde(default)]
    born: Option<u64>,
}

/// What a target says of its readiness; any other word is another writer's.
#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum TargetCondition {
    Ready,
    Draining,
}

#[derive(Deserialize, Clone, Copy)]
struct LayersBody {
    from: u32,
    to: u32,
}

#[derive(Deserialize)]
struct ModelBody {
    #[serde(default)]
    layers: Option<LayersBody>,
}

#[derive(Deserialize)]
struct ReportBody {
    #[serde(default)]
    busy: bool,
    /// Orders accepted since the engine started. The heartbeat's field of the
    /// same name counts heartbeats.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queue_depth: u32,
    /// Tokens times layers in memory that cannot be given up.
    #[serde(default)]
    kv_used: f64,
    #[serde(default)]
    kv_total: f64,
    #[serde(default)]
    pace: Option<f64>,
    #[serde(default)]
    layers: Option<LayersBody>,
    #[serde(default)]
    models: Vec<ModelBody>,
    #[serde(default)]
    stalled: Vec<StalledBody>,
    /// Unix millisecond of the engine's start; not written by all engines.
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Deserialize)]
struct StalledBody {
    id: String,
    /// The engine that the request waits for.
    address: std::net::SocketAddr,
}

/// Converts the value of a heartbeat record.
///
/// # Errors
///
/// If the value is not what targets write; the message names the field.
pub fn parse_target(id: &str, value: &[u8]) -> Result<TargetEntry, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(value);
    let body: TargetBody =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| error.to_string())?;
    if id.contains(START_SEPARATOR) {
        return Err(format!("id: holds a {START_SEPARATOR}"));
    }
    Ok(TargetEntry {
        id: start_id(id, body.born),
        started_ms: body.born,
        service: body.service.into(),
        address: body.address,
        zone: body.zone.into(),
        draining: body.state == TargetCondition::Draining,
        kind: body.kind.map(Into::into),
        layers: held_layers(body.layers, &body.models),
    })
}

/// Converts an engine's report.
///
/// # Errors
///
/// If the body is not what engines answer; the message names the field.
pub fn parse_report(value: &[u8]) -> Result<EngineReport, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(value);
    let body: ReportBody =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| error.to_string())?;
    let stalled = body.stalled.into_iter();
    Ok(EngineReport {
        started_ms: body.born,
        order_busy: body.busy,
        order_sequence: body.sequence,
        running: body.running,
        queued: body.queue_depth,
        cache_used: body.kv_used,
        cache_total: body.kv_total,
        pace: body.pace.unwrap_or(1.0),
        layers: held_layers(body.layers, &body.models),
        stalled: stalled
            .map(|stalled| (stalled.id, stalled.address))
            .collect(),
    })
}

/// Id of one start of a target.
///
/// A target may start again under the id that it had, and then holds and knows
/// nothing of before. With the time of the start in the id, requests, failures,
/// orders and loads of the start before can touch nothing of the new one.
pub fn start_id(id: &str, born: Option<u64>) -> TargetId {
    match born {
        Some(born) => format!("{id}{START_SEPARATOR}{born}").into(),
        None => id.into(),
    }
}

/// The platform's id of a target, which does not tell its starts apart.
pub fn platform_id(target: &str) -> &str {
    let parts = target.split_once(START_SEPARATOR);
    parts.map_or(target, |(id, _)| id)
}

fn held_layers(own: Option<LayersBody>, models: &[ModelBody]) -> Option<LayerRange> {
    let listed = models.first().and_then(|model| model.layers);
    let layers = own.or(listed)?;
    (layers.from < layers.to).then_some(LayerRange {
        from: layers.from,
        to: layers.to,
    })
}
