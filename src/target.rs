//! The client side of targets: engines that hold layer ranges, and services.

pub mod wire;
