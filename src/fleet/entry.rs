//! What targets say of themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids::TargetId;
use crate::ids::{ServiceId, ZoneId};

/// Layers `from` up to, but not including, `to`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// One past the last layer.
    pub to: u32,
}

impl LayerRange {
    /// Number of layers.
    pub fn width(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Whether `layer` lies in the range.
    pub fn contains(self, layer: u32) -> bool {
        (self.from..self.to).contains(&layer)
    }
}

/// A target as its newest heartbeat tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of this start of the target: another start has another one.
    pub id: TargetId,
    /// When it started, in milliseconds since the Unix epoch, if it tells.
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// It takes nothing new and will end.
    pub draining: bool,
    /// Kind of accelerator, for model engines.
    pub kind: Option<Arc<str>>,
    /// Layers that it held at the heartbeat.
    pub layers: Option<LayerRange>,
}

/// An engine's answer to the question how it is doing; some hundred
/// milliseconds old when it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// When it started, in milliseconds since the Unix epoch, if it tells.
    pub started_ms: Option<u64>,
    /// An order is being carried out.
    pub order_busy: bool,
    /// Orders accepted since the engine started.
    pub order_sequence: u64,
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Memory of requests that cannot be given up, in tokens times layers.
    pub cache_used: f64,
    /// Memory for requests in all, in tokens times layers.
    pub cache_total: f64,
    /// Over 1 when the engine is slower than its kind.
    pub pace: f64,
    /// Layers held.
    pub layers: Option<LayerRange>,
    /// Requests that wait for another engine: request id and that engine.
    pub stalled: Vec<(String, SocketAddr)>,
}
