//! Client of targets: engines that hold layer ranges, and plain services.

pub mod client;
pub mod prefix;
pub mod wire;

mod failure;
mod transport;

pub use failure::{CallFailure, TargetFailure};
