//! Heartbeats that targets write to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::configuration::{HEARTBEAT_MS, TARGETS};
use super::engines::TargetRegistry;
use super::log_service::LogTopics;
use super::target::TargetSpec;

/// Writes the heartbeats of a target for as long as it runs.
pub(super) async fn write_heartbeats(
    spec: TargetSpec,
    address: SocketAddr,
    registry: Arc<TargetRegistry>,
    topics: Arc<LogTopics>,
) {
    loop {
        if !registry.state(address).still {
            write_heartbeat(&spec, address, &registry, &topics);
        }
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

/// Writes the current state of a target.
pub(super) fn write_heartbeat(
    spec: &TargetSpec,
    address: SocketAddr,
    registry: &TargetRegistry,
    topics: &LogTopics,
) {
    let state = registry.state(address);
    let layers = state
        .layers
        .map(|(from, to)| json!({"from": from, "to": to}));
    let body = json!({
        "service": spec.service, "address": address, "zone": spec.zone, "kind": spec.kind,
        "state": if state.draining { "draining" } else { "ready" }, "layers": layers,
        "version": "v1", "slots": 64, "cold_remaining_ms": 0, "sequence": 1,
    });
    topics.append(TARGETS, &state.id, Some(body.to_string().into()));
}
