//! What this host keeps for decisions about starts.

use std::time::Instant;

use super::floor::RankFloors;
use super::queue::StartQueue;
use super::ranks::ServiceRanks;
use crate::collections::FastMap;
use crate::ids::ServiceId;
use crate::ingress::IngressConfiguration;

/// Ranks, counters and waiting requests of this host.
#[derive(Debug, Default)]
pub struct StartTable {
    /// The requests that wait.
    pub queue: StartQueue,
    version: Option<u64>,
    ranks: FastMap<ServiceId, ServiceRanks>,
    floors: FastMap<ServiceId, RankFloors>,
}

impl StartTable {
    /// Takes over the priorities of a configuration if it is another one than before.
    pub fn observe_configuration(&mut self, configuration: &IngressConfiguration) {
        if self.version == Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        let services = configuration.services.values();
        let services = services.filter(|service| service.engine.is_some());
        let ranks = services.filter_map(|service| {
            let ranks = ServiceRanks::declared(configuration, &service.name)?;
            Some((service.name.clone(), ranks))
        });
        self.ranks = ranks.collect();
        self.floors
            .retain(|service, _| self.ranks.contains_key(service));
    }

    /// Returns the ranks of a service, or `None` if its requests are not decided about.
    pub fn ranks(&self, service: &str) -> Option<&ServiceRanks> {
        self.ranks.get(service)
    }

    /// Returns whether the floor of a rank requires a start.
    pub fn is_floor_due(&self, service: &str, priority: u8) -> bool {
        let floors = self.floors.get(service);
        floors.is_some_and(|floors| floors.is_due(priority))
    }

    /// Counts the arrival of a request.
    pub fn count_arrival(&mut self, service: &ServiceId, priority: u8, now: Instant) {
        let floors = self.floors.entry(service.clone()).or_default();
        floors.count_arrival(priority, now);
    }

    /// Counts the start of a request.
    pub fn count_start(&mut self, service: &ServiceId, priority: u8, now: Instant) {
        let floors = self.floors.entry(service.clone()).or_default();
        floors.count_start(priority, now);
    }
}
