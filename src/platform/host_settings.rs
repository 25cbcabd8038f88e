//! The settings file that the platform writes on each entry host.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSecondsWithFrac, DurationSecondsWithFrac, serde_as};

use crate::collections::FastMap;
use crate::entry::{EntryBounds, EntrySettings};
use crate::retry::RetryBounds;

/// Reason why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file: {0}")]
    Read(#[from] std::io::Error),
    /// The text is not in the platform's format.
    #[error("cannot parse the settings: {0}")]
    Parse(String),
}

#[serde_as]
#[derive(Deserialize)]
struct SettingsBody {
    node: String,
    zone: String,
    listen: FastMap<String, SocketAddr>,
    /// First and last of the ports that entry hosts may use among themselves.
    #[serde(default)]
    internal_ports: Vec<u16>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "default_beat")]
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    heartbeat_ms: Duration,
    #[serde(default)]
    bootstrap: bool,
    bounds: BoundsBody,
    provider: ProviderBody,
    limits: LimitsBody,
}

/// Returns the default interval between heartbeats.
fn default_beat() -> Duration {
    Duration::from_millis(1200)
}

#[derive(Deserialize)]
struct LimitsBody {
    memory_mb: u64,
    /// File descriptors of a process.
    #[serde(default = "default_descriptors")]
    max_fds: usize,
    #[serde(default = "default_cores")]
    cpu_share: f64,
    #[serde(default = "default_cores")]
    cores: f64,
    #[serde(default = "default_link")]
    link_mbps: f64,
}

/// Returns the default number of file descriptors.
fn default_descriptors() -> usize {
    4100
}

fn default_cores() -> f64 {
    1.0
}

/// Returns the default bandwidth of the host's link, in megabits per second.
fn default_link() -> f64 {
    1000.0
}

#[derive(Deserialize)]
struct ProviderBody {
    address: SocketAddr,
}

/// Bounds, whose figures may be fractions.
#[serde_as]
#[derive(Deserialize)]
struct BoundsBody {
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    drain_ms: Duration,
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    grace_s: Duration,
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    stall_ms: Duration,
    retry_budget_ratio: f64,
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    budget_window_s: Duration,
    budget_slack: f64,
}

/// Reads and parses the settings file.
///
/// # Errors
///
/// Fails if the file cannot be read or is not in the platform's format; the message names
/// the key.
pub fn read_settings(path: &Path) -> Result<EntrySettings, SettingsError> {
    let text = std::fs::read_to_string(path)?;
    parse_settings(&text)
}

/// Parses the text of the settings file.
///
/// # Errors
///
/// Fails if the text is not in the platform's format; the message names the key.
pub fn parse_settings(text: &str) -> Result<EntrySettings, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let body: SettingsBody = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| SettingsError::Parse(error.to_string()))?;
    let address = |name: &str| {
        let missing = || SettingsError::Parse(format!("listen.{name}: missing"));
        body.listen.get(name).copied().ok_or_else(missing)
    };
    Ok(EntrySettings {
        host: body.node.into(),
        zone: body.zone.into(),
        callers: address("front")?,
        readiness: address("ready")?,
        peers: address("control")?,
        internal_ports: body.internal_ports,
        seeds: body.seeds,
        store: body.provider.address,
        is_first_start: body.bootstrap,
        heartbeat: body.heartbeat_ms,
        memory_mb: body.limits.memory_mb,
        descriptors: body.limits.max_fds,
        cores: body.limits.cpu_share * body.limits.cores,
        link_mbps: body.limits.link_mbps,
        bounds: EntryBounds {
            drain: body.bounds.drain_ms,
            grace: body.bounds.grace_s,
            stall: body.bounds.stall_ms,
            retries: RetryBounds {
                window: body.bounds.budget_window_s,
                ratio: body.bounds.retry_budget_ratio,
                slack: body.bounds.budget_slack,
            },
        },
    })
}
