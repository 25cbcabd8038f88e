//! Choice of one target for each stage of a pipeline.
//!
//! [`RouteTable`] holds the declared pipelines and what this host knows about their
//! targets. Commands record events; queries plan routes from the recorded state.

mod affinity;
mod commands;
mod compare;
mod declare;
mod entry;
mod estimate;
mod load;
mod policy;
mod queries;
mod route;
mod settings;
mod table;

pub use policy::RoutePolicy;
pub use queries::ReplaceRequest;
pub use route::{PlannedRoute, RouteRefusal, RouteRequest, RouteScore};
pub use settings::RouteSettings;
pub use table::RouteTable;
