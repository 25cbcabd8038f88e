//! A target's heartbeat as it stands in the log, and its report.

use serde::Deserialize;

use crate::fleet::{EngineReport, LayerRange, TargetEntry};

#[derive(Deserialize)]
struct TargetBody {
    service: String,
    address: std::net::SocketAddr,
    zone: String,
    #[serde(default)]
    state: String,
    #[serde(default)]
    kind: Option<String>,
    #[serde(default)]
    layers: Option<LayersBody>,
    #[serde(default)]
    models: Vec<ModelBody>,
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
    Ok(TargetEntry {
        id: id.into(),
        service: body.service.into(),
        address: body.address,
        zone: body.zone.into(),
        draining: body.state == "draining",
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

fn held_layers(own: Option<LayersBody>, models: &[ModelBody]) -> Option<LayerRange> {
    let listed = models.first().and_then(|model| model.layers);
    let layers = own.or(listed)?;
    (layers.from < layers.to).then_some(LayerRange {
        from: layers.from,
        to: layers.to,
    })
}
