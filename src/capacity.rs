//! Capacity and demand of services by availability zone, as far as this host knows them.
//!
//! [`DemandTable`] counts the requests of this host's callers and holds what other hosts
//! report of theirs; [`build_view`] combines it with the state of the targets. Pure: the
//! current time is passed as an argument.

mod demand_counter;
mod demand_report;
mod demand_table;
mod estimate;
mod view;

pub use demand_counter::DemandCounter;
pub use demand_report::{
    DemandReport, OrganisationRate, PriorityRate, ZoneDemand, organisation_key, service_key,
};
pub use demand_table::DemandTable;
pub use estimate::{build_view, estimate_zones};
pub use view::{CapacityView, OrganisationDemand, PriorityDemand, ServiceCapacity, ZoneCapacity};
