//! Which engine holds which layers. Pure: from the engines that are seen to
//! the ranges that they should hold, the same on every host that sees the same.

mod adjust;
mod best_range;
mod estimate;
mod fill;
mod initial;
mod partition;
mod plan;
mod replan;
mod zone_estimate;

pub use estimate::{HeldRange, plan_score};
pub use plan::{EngineView, PlannedRange, has_uncovered_layers, plan_zone};
pub use replan::REPLAN_DELAY;
