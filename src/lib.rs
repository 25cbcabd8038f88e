//! Jackdawwick routes requests over pipelines of mixed accelerators.
//!
//! Skeleton: the flow from start to stop is told here as the parts land.

pub mod collections;
pub mod ids;
pub mod platform;
pub mod reason;
pub mod resources;
pub mod target;
pub mod verdict;
