//! The configuration that operators publish, in typed form.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::{FastMap, FastSet};
use crate::ids::{OrganisationId, ServiceId, ZoneId};

/// One accepted version of everything that operators declare.
#[derive(Debug, Clone, Default)]
pub struct IngressConfiguration {
    /// Increases with each accepted change, not always by one.
    pub version: u64,
    /// Routes by host name; within a host the longest prefix comes first.
    pub routes: FastMap<Box<str>, Vec<Arc<RouteRule>>>,
    /// Services that routes lead to.
    pub services: BTreeMap<ServiceId, Arc<ServiceSpec>>,
    /// Availability zones between which delays are declared.
    pub zones: FastSet<ZoneId>,
    /// Holders of the API keys; `None` if callers need no key.
    pub keys: Option<FastMap<Box<str>, KeyHolder>>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
}

/// The organisation that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its priority, 0 first; overrides the priority of a route.
    pub priority: Option<u8>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header section of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}

/// Whether a request may be repeated, and whether its response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Non-idempotent: may run at most once.
    NonIdempotent,
    /// A stream of events that may be resumed on another target.
    ResumableStream,
    /// A stream of events that may run at most once.
    Stream,
}

impl RequestKind {
    /// Returns whether the request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// Maps a host name and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller waits.
    pub timeout: Duration,
    /// Time within which a response is on time; for streams, its first event.
    pub latency_aim: Duration,
    /// Longest gap between two events of a stream that is on time.
    pub gap_aim: Option<Duration>,
    /// Priority, 0 first.
    pub priority: u8,
    /// Services and their weights.
    pub services: Vec<ServiceShare>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// The share of a route that a service gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// A service: a group of interchangeable targets, or of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Path of its health check.
    pub health_path: Box<str>,
    /// The engine model, if the targets are model engines that hold layers.
    pub engine: Option<EngineModel>,
}

/// Costs and sizes of a model engine, as declared.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Most requests that an engine runs at once as the first engine of their paths.
    pub slots: u32,
    /// Number of layers of the model.
    pub layers: u32,
    /// Size of a layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Size of the cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time of one token step through all layers, in milliseconds at pace 1.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that 1,000 tokens of context add to a step, in milliseconds.
    pub per_context_k_ms: f64,
    /// Prompt tokens processed per second through all layers.
    pub read_per_s: f64,
    /// Token steps in one pass, and tokens in one event.
    pub stride: u32,
    /// Time to load all layers, in seconds.
    pub load_s: f64,
    /// Mean number of tokens of a prompt.
    pub usual_prompt: u32,
    /// Mean number of tokens of a response.
    pub usual_answer: u32,
    /// Kinds of accelerator, by name.
    pub kinds: FastMap<Box<str>, AcceleratorKind>,
}

/// A kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AcceleratorKind {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of steps and context.
    pub pace: f64,
    /// Factor on the time of prompt processing and on the time that each request adds to
    /// a step.
    pub read_factor: f64,
}

impl EngineModel {
    /// Returns the time of a usual response on a path of the slowest kind, in milliseconds.
    pub fn usual_response_ms(&self) -> f64 {
        let paces = self.kinds.values().map(|kind| kind.pace);
        let slowest = paces.fold(1.0, f64::max);
        f64::from(self.usual_answer) * self.step_ms * slowest
    }

    /// Returns the most layers that an accelerator can hold.
    pub fn max_layers(&self, kind: AcceleratorKind) -> u32 {
        let layers = (kind.memory_mb / self.layer_mb).floor();
        (layers as u32).min(self.layers)
    }

    /// Returns the cache capacity left for requests beside `held` layers, in tokens times
    /// layers.
    pub fn cache_capacity(&self, kind: AcceleratorKind, held: u32) -> f64 {
        let free_mb = kind.memory_mb - f64::from(held) * self.layer_mb;
        let layer_token_bytes = self.kv_token_bytes / f64::from(self.layers);
        (free_mb * 1e6 / layer_token_bytes).max(0.0)
    }
}
