//! Runs a load against a layer plan and a routing rule on simulated engines, without a
//! network, and reports what callers receive.

mod figures;
mod fleet;
mod fleets;
mod plans;
mod run;

pub use figures::{TrialFigures, plot_rows};
pub use fleet::ZoneEngines;
pub use fleets::FleetSettings;
pub use plans::{PlanKind, zone_ranges};
pub use run::{RoutingRule, TrialSettings, run_trial};
