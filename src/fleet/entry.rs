//! What targets report about themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids::{HeartbeatNumber, ServiceId, TargetId, ZoneId};

/// Layers `from` up to, but not including, `to`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// One past the last layer.
    pub to: u32,
}

impl LayerRange {
    /// Returns the number of layers.
    pub fn width(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether `layer` lies in the range.
    pub fn contains(self, layer: u32) -> bool {
        (self.from..self.to).contains(&layer)
    }
}

/// A target as described by its newest heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of this start of the target; a restart gets a new one.
    pub id: TargetId,
    /// Start time in milliseconds since the Unix epoch, if reported.
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it accepts no new work and is about to end.
    pub draining: bool,
    /// Kind of accelerator, for model engines.
    pub kind: Option<Arc<str>>,
    /// Layers that it held at the heartbeat.
    pub layers: Option<LayerRange>,
}

impl TargetEntry {
    /// Returns the layers that it holds of a model with this number of layers; `None` if they
    /// are layers of another model.
    pub fn layers_of(&self, model_layers: u32) -> Option<LayerRange> {
        self.layers.filter(|range| range.to <= model_layers)
    }
}

/// A heartbeat of a target, as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetHeartbeat {
    /// What the target reports about itself.
    pub entry: TargetEntry,
    /// Its place among the heartbeats of the same start, whenever the log took it.
    pub number: HeartbeatNumber,
}

/// Status report of an engine; some hundred milliseconds old when it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Start time in milliseconds since the Unix epoch, if reported.
    pub started_ms: Option<u64>,
    /// Whether it is executing an order.
    pub order_busy: bool,
    /// Orders accepted since the engine started.
    pub order_sequence: u64,
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Memory of requests that cannot be evicted, in tokens times layers.
    pub cache_used: f64,
    /// Total memory for requests, in tokens times layers.
    pub cache_total: f64,
    /// Factor on the times that are usual for its kind; above 1 when it is slower.
    pub pace: f64,
    /// Layers held.
    pub layers: Option<LayerRange>,
    /// Requests that wait for another engine: the request id and the engine's address.
    pub stalled: Vec<(String, SocketAddr)>,
}
