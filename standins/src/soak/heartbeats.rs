//! What targets write into the log of themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::configuration::{HEARTBEAT_MS, TARGETS};
use super::engines::TargetWorld;
use super::log_service::LogTopics;
use super::target::TargetPlace;

/// Writes a target's heartbeats for as long as it runs.
pub(super) async fn write_heartbeats(
    place: TargetPlace,
    address: SocketAddr,
    world: Arc<TargetWorld>,
    topics: Arc<LogTopics>,
) {
    loop {
        write_heartbeat(&place, address, &world, &topics);
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

/// Writes what is true of a target now.
pub(super) fn write_heartbeat(
    place: &TargetPlace,
    address: SocketAddr,
    world: &TargetWorld,
    topics: &LogTopics,
) {
    let state = world.state(address);
    let layers = state
        .layers
        .map(|(from, to)| json!({"from": from, "to": to}));
    let body = json!({
        "service": place.service, "address": address, "zone": place.zone, "kind": place.kind,
        "state": if state.draining { "draining" } else { "ready" }, "layers": layers,
        "version": "v1", "slots": 64, "cold_remaining_ms": 0, "sequence": 1,
    });
    topics.append(TARGETS, &state.id, Some(body.to_string().into()));
}
