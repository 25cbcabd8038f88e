//! Choosing one target for each stage of a pipeline.

mod route;

pub use route::{PlannedRoute, RouteRefusal, RouteRequest, RouteScore};
