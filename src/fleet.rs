//! The state of the targets as this host knows it, and the choice of engines for a
//! request. Pure: the current time is passed as an argument.

mod ended;
mod entry;
mod load;
mod path;
mod pick;
mod state;
mod statements;
mod table;
mod usage;

pub use ended::EndedTarget;
pub use entry::{EngineReport, LayerRange, TargetEntry, TargetHeartbeat};
pub use load::{RequestSize, TargetLoad};
pub(crate) use path::MEMORY_OVERCOMMIT;
pub use path::{EnginePath, PathHop, PathQuery, choose_path, repair_path};
pub use pick::choose_target;
pub use state::TargetState;
pub use table::{FleetTable, ServiceMembers};
pub use usage::{SourceTable, TargetUsage, UsageScope, UsageSource, ZoneUsage, target_key};
