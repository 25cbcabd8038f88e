//! Placement of model layers on engines.
//!
//! The planner is a pure function: it maps the engines of a zone to the layer ranges that
//! they should hold, so that every host that sees the same engines computes the same
//! plan.

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
pub use plan::{EngineView, PlanReason, PlannedRange, has_uncovered_layers, plan_zone};
pub use replan::REPLAN_DELAY;
