//! What this host believes about the targets, and the choice of engines for a
//! request. Pure: the present time is an argument.

mod entry;
mod load;
mod path;
mod pick;
mod state;
mod table;
mod usage;

pub use entry::{EngineReport, LayerRange, TargetEntry};
pub use load::{RequestSize, TargetLoad};
pub use path::{EnginePath, PathHop, PathQuery, choose_path, repair_path};
pub use pick::choose_target;
pub use state::TargetState;
pub use table::{FleetTable, ServiceMembers};
pub use usage::{TargetUsage, UsageScope, UsageSource, ZoneUsage, target_key};
