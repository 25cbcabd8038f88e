//! Formats of a target's heartbeat in the log and of an engine's report.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Deserialize;

use crate::fleet::{EngineReport, LayerRange, TargetEntry, TargetHeartbeat};
use crate::ids::{HeartbeatNumber, TargetId};

/// Largest number of layers of a model: several times those of the largest ones. Tables have a
/// row for each.
pub(super) const MAX_LAYERS: u32 = 4096;
/// Largest heartbeat number: whole numbers are exact in JSON up to here. After a larger one
/// each later heartbeat would look outdated.
const MAX_NUMBER: u64 = 1 << 53;
/// Latest start of a target, as Unix time in milliseconds: the end of the year 9999.
const MAX_START_MS: u64 = 253_402_300_799_999;
/// Largest factor by which an engine may be slower than its kind.
const MAX_PACE: f64 = 1e6;
/// Longest id of a target, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Separator between the platform's id of a target and its start time in a [`TargetId`].
const START_SEPARATOR: char = '@';

/// Value of a heartbeat. Every field that targets always write is required, even if it is
/// not used: a value without one was not written by a target.
#[derive(Deserialize)]
struct TargetBody {
    service: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "version")]
    _software: String,
    #[serde(rename = "slots")]
    _slots: u64,
    #[serde(rename = "cold_remaining_ms")]
    _cold_remaining: f64,
    /// Number of the heartbeat. The field of the same name in the report counts orders.
    #[serde(rename = "sequence")]
    number: HeartbeatNumber,
    state: TargetCondition,
    #[serde(default)]
    kind: Option<String>,
    #[serde(default)]
    layers: Option<LayersBody>,
    #[serde(default)]
    models: Vec<ModelBody>,
    /// Start of the target, as Unix time in milliseconds; not all targets write it.
    #[serde(default)]
    born: Option<u64>,
}

/// State that a target reports; a value with any other state was not written by a target.
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
    /// Number of orders accepted since the engine started. The field of the same name in
    /// the heartbeat counts heartbeats.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queue_depth: u32,
    /// Memory that cannot be evicted, in tokens times layers.
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
    /// Start of the engine, as Unix time in milliseconds; not all engines write it.
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Deserialize)]
struct StalledBody {
    id: String,
    /// Address of the engine that the request is waiting for.
    address: SocketAddr,
}

/// Parses the value of a heartbeat record.
///
/// # Errors
///
/// Fails if the value is not in the format of targets; the message names the field.
pub fn parse_target(id: &str, value: &[u8]) -> Result<TargetHeartbeat, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(value);
    let body: TargetBody =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| error.to_string())?;
    check_id(id)?;
    check_address(body.address)?;
    check_number("sequence", body.number, MAX_NUMBER)?;
    check_start(body.born)?;
    let entry = TargetEntry {
        id: start_id(id, body.born),
        started_ms: body.born,
        service: body.service.into(),
        address: body.address,
        zone: body.zone.into(),
        draining: body.state == TargetCondition::Draining,
        kind: body.kind.map(Into::into),
        layers: held_layers(body.layers, &body.models)?,
    };
    Ok(TargetHeartbeat {
        entry,
        number: body.number,
    })
}

/// Parses an engine's report.
///
/// # Errors
///
/// Fails if the body is not in the format of engines; the message names the field.
pub fn parse_report(value: &[u8]) -> Result<EngineReport, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(value);
    let body: ReportBody =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| error.to_string())?;
    check_start(body.born)?;
    let pace = body.pace.unwrap_or(1.0);
    if !(pace > 0.0 && pace <= MAX_PACE) {
        return Err(format!("pace: {pace} is not between 0 and {MAX_PACE}"));
    }
    for (field, value) in [("kv_used", body.kv_used), ("kv_total", body.kv_total)] {
        if value < 0.0 {
            return Err(format!("{field}: {value} is negative"));
        }
    }
    let stalled = body.stalled.into_iter();
    Ok(EngineReport {
        started_ms: body.born,
        order_busy: body.busy,
        order_sequence: body.sequence,
        running: body.running,
        queued: body.queue_depth,
        cache_used: body.kv_used,
        cache_total: body.kv_total,
        pace,
        layers: held_layers(body.layers, &body.models)?,
        stalled: stalled
            .map(|stalled| (stalled.id, stalled.address))
            .collect(),
    })
}

/// Returns the id of one incarnation of a target.
///
/// A target may restart under the same platform id, and has then lost its layers and
/// requests. The start time in the id keeps requests, failures, orders and loads of the
/// previous incarnation from affecting the new one.
pub fn start_id(id: &str, born: Option<u64>) -> TargetId {
    match born {
        Some(born) => format!("{id}{START_SEPARATOR}{born}").into(),
        None => id.into(),
    }
}

/// Returns the platform's id of a target, which all its incarnations share.
pub fn platform_id(target: &str) -> &str {
    let parts = target.split_once(START_SEPARATOR);
    parts.map_or(target, |(id, _)| id)
}

fn held_layers(
    own: Option<LayersBody>,
    models: &[ModelBody],
) -> Result<Option<LayerRange>, String> {
    let listed = models.first().and_then(|model| model.layers);
    let Some(LayersBody { from, to }) = own.or(listed) else {
        return Ok(None);
    };
    check_number("layers", to.into(), MAX_LAYERS.into())?;
    Ok((from < to).then_some(LayerRange { from, to }))
}

/// Checks that an id can stand in a header and in a line of a log.
fn check_id(id: &str) -> Result<(), String> {
    match () {
        () if id.is_empty() => Err("id: empty".to_owned()),
        () if id.len() > MAX_ID_BYTES => Err(format!("id: longer than {MAX_ID_BYTES} bytes")),
        () if !id.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err("id: contains a space or a character that is not printable ASCII".to_owned())
        }
        () if id.contains(START_SEPARATOR) => Err(format!(
            "id: contains the reserved character {START_SEPARATOR}"
        )),
        () => Ok(()),
    }
}

/// Checks that a process can listen on an address.
fn check_address(address: SocketAddr) -> Result<(), String> {
    let ip = address.ip();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    match address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        true => Err(format!(
            "address: {address} is not the address of a process"
        )),
        false => Ok(()),
    }
}

fn check_start(born: Option<u64>) -> Result<(), String> {
    check_number("born", born.unwrap_or(0), MAX_START_MS)
}

fn check_number(field: &str, value: u64, max: u64) -> Result<(), String> {
    match value <= max {
        true => Ok(()),
        false => Err(format!("{field}: {value} is over {max}")),
    }
}
