//! Capacity and demand of services by availability zone, as far as this host knows them.

mod view;

pub use view::{CapacityView, OrganisationDemand, PriorityDemand, ServiceCapacity, ZoneCapacity};
