//! Bodies of orders to engines and of their responses.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::{EnginePath, LayerRange};

#[derive(Serialize)]
struct PlaceBody {
    operation: &'static str,
    from: u32,
    to: u32,
    drain_mode: &'static str,
    /// Number of orders that the engine is expected to have accepted so far.
    expected: u64,
}

/// Returns the body of an order to hold exactly `layers`, valid only while the engine has
/// accepted `expected` orders.
pub fn place_body(layers: LayerRange, expected: u64) -> String {
    let body = PlaceBody {
        operation: "place",
        from: layers.from,
        to: layers.to,
        drain_mode: "queue",
        expected,
    };
    serde_json::to_string(&body).unwrap_or_default()
}

#[derive(Serialize)]
struct RepathBody<'a> {
    operation: &'static str,
    /// Id of the attempt of the request.
    id: &'a str,
    path: String,
}

/// Returns the body of an order to move a running request to another path with the same
/// first engine.
pub fn repath_body(id: &str, path: &EnginePath) -> String {
    let body = RepathBody {
        operation: "repath",
        id,
        path: path_value(path),
    };
    serde_json::to_string(&body).unwrap_or_default()
}

#[derive(Deserialize)]
struct ConflictBody {
    address: Option<SocketAddr>,
}

/// Returns the address of the engine that caused the refusal of an order, if the body
/// names one.
pub fn refusing_engine(body: &[u8]) -> Option<SocketAddr> {
    let body = serde_json::from_slice::<ConflictBody>(body);
    body.ok().and_then(|body| body.address)
}

/// Returns the addresses of the engines in the header value of a path. Parts that are
/// malformed are left out.
pub fn path_addresses(value: &str) -> Vec<SocketAddr> {
    let parts = value.split(',').filter_map(|part| part.split_once('='));
    parts
        .filter_map(|(address, _)| address.trim().parse().ok())
        .collect()
}

/// Returns the header value for the engines of a path and their layers.
pub fn path_value(path: &EnginePath) -> String {
    let hops = path.hops.iter().map(|hop| {
        let LayerRange { from, to } = hop.layers;
        format!("{}={from}-{to}", hop.address)
    });
    hops.collect::<Vec<_>>().join(",")
}
