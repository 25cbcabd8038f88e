//! Bodies of orders to engines.

use serde::Serialize;

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

/// The header value that names the engines of a path and their layers.
pub fn path_value(path: &EnginePath) -> String {
    let hops = path.hops.iter().map(|hop| {
        let LayerRange { from, to } = hop.layers;
        format!("{}={from}-{to}", hop.address)
    });
    hops.collect::<Vec<_>>().join(",")
}
