//! The resources that operators declare, as plain structs with their checks.

mod key;
mod model;
mod organisation;
mod pipeline;
mod service;
mod spec;
mod target;

pub use key::{ResourceKey, ResourceKind};
pub use model::{ModelSpec, VersionSpec};
pub use organisation::{CapacitySpec, OrganisationSpec};
pub use pipeline::{PipelineSpec, StageSpec};
pub use service::ServiceSpec;
pub use spec::{ResourceSpec, SpecError};
pub use target::{FencingSupport, TargetKind, TargetPhase, TargetSpec};
