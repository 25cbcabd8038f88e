//! Targets: the engines and services that carry work.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::ZoneId;

/// An engine or service process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// What it is.
    pub kind: TargetKind,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// IP address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Accelerator kind, for display and grouping.
    #[serde(default)]
    pub accelerator: String,
    /// Tokens a second that the stage can carry when saturated (declared rate).
    #[serde(default = "default_rate")]
    pub tokens_per_second: f64,
    /// Steps or calls that the target runs at once.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// Whether it takes new work.
    #[serde(default)]
    pub phase: TargetPhase,
}

fn default_rate() -> f64 {
    100.0
}

fn default_concurrency() -> u32 {
    8
}

/// The kinds of target.
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
    /// It refuses an order whose fencing number is older than one it has seen.
    Checks,
    /// It carries out any order.
    #[default]
    Ignores,
}

/// The declared phase of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// It takes new work.
    #[default]
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
}
