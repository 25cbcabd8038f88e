//! What decisions about load read: typed values without behaviour of their own.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{ServiceId, ZoneId};

/// Age from which a view says nothing about the present.
const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

/// Capacity and demand of all services at one moment.
#[derive(Debug, Clone, Default)]
pub struct CapacityView {
    /// When the view was built; `None` before the first one.
    pub built_at: Option<Instant>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, ServiceCapacity>,
}

impl CapacityView {
    /// Returns a service, unless the view is too old or does not have it.
    pub fn service(&self, name: &str, now: Instant) -> Option<&ServiceCapacity> {
        let built_at = self.built_at?;
        let is_current = now.saturating_duration_since(built_at) < MAX_VIEW_AGE;
        self.services.get(name).filter(|_| is_current)
    }
}

/// Capacity and demand of one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceCapacity {
    /// The zones that have targets of the service or demand for it, by name.
    pub zones: Vec<ZoneCapacity>,
}

impl ServiceCapacity {
    /// Returns a zone by name.
    pub fn zone(&self, name: &str) -> Option<&ZoneCapacity> {
        self.zones.iter().find(|zone| &*zone.zone == name)
    }
}

/// Capacity of the targets of one zone, and demand of the callers of its hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: ZoneId,
    /// Requests of usual size that its targets can run at once, at the layer that can run the
    /// fewest.
    pub concurrent: f64,
    /// Requests in flight on its targets, of the hosts of all zones.
    pub in_flight: f64,
    /// Prompt tokens that its targets process in a second, at the slowest layer.
    pub prompt_per_s: f64,
    /// Prompt tokens that its targets have not processed yet, at the layer with the most.
    pub unread: f64,
    /// Demand of the callers of its hosts by priority, the most urgent first.
    pub demand: Vec<PriorityDemand>,
    /// The largest organisations among the callers of its hosts.
    pub organisations: Vec<OrganisationDemand>,
    /// Age of the oldest report that the demand is made of; 3 s if there is no report.
    pub demand_age: Duration,
}

impl ZoneCapacity {
    /// Returns the requests in flight over those that can run at once; above 1 where
    /// requests wait for a slot or for memory.
    pub fn utilisation(&self) -> f64 {
        self.in_flight / self.concurrent.max(1.0)
    }

    /// Returns the requests a second of all priorities.
    pub fn arrivals_per_s(&self) -> f64 {
        self.demand.iter().map(|demand| demand.arrivals_per_s).sum()
    }
}

/// Demand of one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorityDemand {
    /// The priority, 0 first.
    pub priority: u8,
    /// Requests that arrive in a second, refused ones included.
    pub arrivals_per_s: f64,
    /// Requests that are refused in a second for lack of capacity.
    pub refused_per_s: f64,
    /// Requests that wait to be started.
    pub waiting: u32,
}

/// Demand of one organisation at one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrganisationDemand {
    /// Hash of the organisation's name, alike on all hosts.
    pub organisation: u64,
    /// The priority of the requests, 0 first.
    pub priority: u8,
    /// Requests that arrive in a second, refused ones included.
    pub arrivals_per_s: f64,
}
