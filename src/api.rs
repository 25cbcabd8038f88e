//! The HTTP interfaces towards callers and operators.
//!
//! A thin layer of presentation: it checks who calls and whether the call is
//! well formed, hands a typed call to a backend of closures and puts the typed
//! result into HTTP. It knows none of the daemon's tables.

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
