//! Heartbeats that targets write to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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
        let state = registry.state(address);
        match state.heartbeat_delay {
            _ if state.still => {}
            None => write_heartbeat(&spec, address, &registry, &topics),
            Some(delay) => {
                let body = next_heartbeat(&spec, address, &registry);
                tokio::spawn(write_late(topics.clone(), state.id, body, delay));
            }
        }
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

/// Writes a heartbeat after a delay, whatever has become of its target, and removes the
/// entry when it has expired.
async fn write_late(topics: Arc<LogTopics>, id: String, body: Bytes, delay: Duration) {
    tokio::time::sleep(delay).await;
    topics.append(TARGETS, &id, Some(body.clone()));
    tokio::time::sleep(Duration::from_millis(3 * HEARTBEAT_MS)).await;
    topics.expire(TARGETS, &id, &body);
}

/// Writes the current state of a target.
pub(super) fn write_heartbeat(
    spec: &TargetSpec,
    address: SocketAddr,
    registry: &TargetRegistry,
    topics: &LogTopics,
) {
    let body = next_heartbeat(spec, address, registry);
    topics.append(TARGETS, &registry.state(address).id, Some(body));
}

/// Returns the next heartbeat of a target.
fn next_heartbeat(spec: &TargetSpec, address: SocketAddr, registry: &TargetRegistry) -> Bytes {
    registry.update(address, |state| state.heartbeats += 1);
    let state = registry.state(address);
    let layers = state
        .layers
        .map(|(from, to)| json!({"from": from, "to": to}));
    let body = json!({
        "service": spec.service, "address": address, "zone": spec.zone, "kind": spec.kind,
        "state": if state.draining { "draining" } else { "ready" }, "layers": layers,
        "version": "v1", "slots": 64, "cold_remaining_ms": 0, "sequence": state.heartbeats,
    });
    body.to_string().into()
}
