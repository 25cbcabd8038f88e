//! Plays a load against a plan of layers and a rule of routing, on the model
//! of engines and without network, and tells what callers get.

mod figures;
mod fleet;
mod plans;
mod run;

pub use figures::{TrialFigures, plot_rows};
pub use fleet::ZoneEngines;
pub use plans::PlanKind;
pub use run::{RoutingRule, TrialSettings, run_trial};
