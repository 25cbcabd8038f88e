//! Tests of the HTTP interfaces over stub backends.

#[path = "api/bounds.rs"]
mod bounds;
#[path = "api/callers.rs"]
mod callers;
#[path = "api/client.rs"]
mod client;
#[path = "api/operators.rs"]
mod operators;
#[path = "api/server.rs"]
mod server;
