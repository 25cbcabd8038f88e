//! Which engine holds which layers. Pure: from the engines that are seen to
//! the ranges that they should hold, the same on every host that sees the same.

mod anew;
mod best_range;
mod estimate;
mod figure;
mod fill;
mod first;
mod mend;
mod parts;
mod plan;

pub use anew::ANEW_PATIENCE;
pub use estimate::{HeldRange, plan_worth};
pub use plan::{EngineView, PlannedRange, has_holes, plan_zone};
