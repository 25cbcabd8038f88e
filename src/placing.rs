//! Which engine holds which layers. Pure: from the engines that are seen to
//! the ranges that they should hold, the same on every host that sees the same.

mod best_range;
mod estimate;
mod figure;
mod first;
mod mend;
mod plan;

pub use estimate::{HeldRange, plan_worth};
pub use mend::ANEW_PATIENCE;
pub use plan::{EngineView, PlannedRange, has_holes, plan_zone};
