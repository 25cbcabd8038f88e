//! The HTTP interfaces for callers and operators.
//!
//! A thin presentation layer: it authenticates and validates each call, passes it as a
//! typed value to a backend made of closures, and converts the typed result into an HTTP
//! response. It has no access to the daemon's tables.

pub mod backend;
mod body;
mod callers;
mod credentials;
mod explain;
mod head;
pub mod openapi;
mod operators;
mod proxy;
mod refusal;
mod response;
mod server;
mod stream;
pub mod wire;

pub use proxy::ApiBounds;
pub use refusal::status_of;
pub use server::{ApiError, ApiHandle, ApiSettings, spawn_callers, spawn_operators};
