//! Bodies of orders to engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::{EnginePath, LayerRange};

#[derive(Serialize)]
struct PlaceBody {
    operation: &'static str,
    from: u32,
    to: u32,
    drain_mode: &'static str,
    /// Orders that the engine is expected to have accepted so far.
    expected: u64,
}

/// The body of an order to hold exactly `layers`, valid only while the engine
/// has accepted `expected` orders.
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
    /// Id of the request's attempt.
    id: &'a str,
    path: String,
}

/// The body of an order to take a running request over another path; its
/// first engine has to stay the same.
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

/// The engine that a refused order names as the one at fault.
pub fn refusing_engine(body: &[u8]) -> Option<SocketAddr> {
    let body = serde_json::from_slice::<ConflictBody>(body);
    body.ok().and_then(|body| body.address)
}

/// The header value that names the engines of a path and their layers.
pub fn path_value(path: &EnginePath) -> String {
    let hops = path.hops.iter().map(|hop| {
        let LayerRange { from, to } = hop.layers;
        format!("{}={from}-{to}", hop.address)
    });
    hops.collect::<Vec<_>>().join(",")
}
