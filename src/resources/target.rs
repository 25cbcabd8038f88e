//! Targets: the engine and service processes that carry work.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::ZoneId;

/// An engine or service process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Kind of the target.
    pub kind: TargetKind,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// IP address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Kind of accelerator, for display and grouping.
    #[serde(default)]
    pub accelerator: String,
    /// Declared rate: tokens per second that the stage handles at saturation.
    #[serde(default = "default_rate")]
    pub tokens_per_second: f64,
    /// Maximum number of concurrent steps or calls.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Whether the target rejects orders with an old fencing number.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// Whether the target accepts new work.
    #[serde(default)]
    pub phase: TargetPhase,
}

/// Returns the default declared rate, in tokens per second.
fn default_rate() -> f64 {
    100.0
}

/// Returns the default number of concurrent steps or calls.
fn default_concurrency() -> u32 {
    8
}

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine that holds a layer range.
    Engine,
    /// A plain service.
    Service,
}

/// Whether a target checks fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// The target rejects an order whose fencing number is lower than one it has seen.
    Checks,
    /// The target executes every order.
    #[default]
    Ignores,
}

/// The declared phase of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// The target accepts new work.
    #[default]
    Serving,
    /// The target finishes its current work and accepts no new work.
    Draining,
}
