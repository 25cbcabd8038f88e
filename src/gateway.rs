//! Gateways: hosts through which another host sends requests to targets that it does not
//! reach by its own links.
//!
//! The host that received a request decides everything about it: its route, target,
//! permits and retries. A gateway connects to the target on behalf of that host and passes
//! one request and its response on. It connects over its own links only, so that a request
//! passes one gateway at most.

mod choice;
mod headers;

pub use choice::{GatewayCandidate, GatewayTable};
pub use headers::{GatewayResult, PROBE_HEADER, RESULT_HEADER, TARGET_HEADER};
