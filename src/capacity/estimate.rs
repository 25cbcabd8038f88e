//! Computes the capacity of zones from the state of their engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{
    CapacityView, OrganisationDemand, PriorityDemand, ServiceCapacity, ZoneCapacity, ZoneDemand,
    service_key,
};
use crate::fleet::{FleetTable, MEMORY_OVERCOMMIT, ServiceMembers, TargetState};
use crate::ids::{ServiceId, ServiceKey, ZoneId};
use crate::ingress::EngineModel;

/// Age of the demand of a zone of which there is no report: that of reports that expire. A
/// zone that is cut off must not be taken for one without callers.
const NO_REPORT_AGE: Duration = Duration::from_secs(3);

/// Builds the view of services from the state of the engines and the demand of the zones.
///
/// Only services with an engine model are in it: nothing declares how many requests the
/// targets of a plain service run at once.
pub fn build_view<'a, S>(
    services: S,
    fleet: &FleetTable,
    demand: &[ZoneDemand],
    now: Instant,
) -> CapacityView
where
    S: IntoIterator<Item = (&'a ServiceId, &'a EngineModel)>,
{
    let services = services.into_iter().map(|(service, model)| {
        let members = fleet.members(service);
        let mut zones =
            members.map_or_else(BTreeMap::new, |members| estimate_zones(members, model, now));
        let key = service_key(service);
        for zone_demand in demand {
            let zone = &zone_demand.zone;
            let mut rates = zone_demand.demand.priorities.iter();
            let is_demanded = rates.any(|rate| rate.service == key);
            if !is_demanded && !zones.contains_key(zone) {
                continue;
            }
            let capacity = zones.entry(zone.clone());
            let capacity = capacity.or_insert_with(|| empty_zone(zone));
            set_demand(capacity, key, zone_demand);
        }
        let zones = zones.into_values().collect();
        (service.clone(), ServiceCapacity { zones })
    });
    CapacityView {
        built_at: Some(now),
        services: services.collect(),
    }
}

/// Computes the capacity of each zone that has targets among `members`, without demand.
///
/// Engines that are not usable, are silent or hold no layers count for nothing, neither by
/// what they can run nor by what runs on them: a path does not use them.
pub fn estimate_zones(
    members: &ServiceMembers,
    model: &EngineModel,
    now: Instant,
) -> BTreeMap<ZoneId, ZoneCapacity> {
    let mut zones = BTreeMap::<&ZoneId, LayerSums>::new();
    for state in members.values() {
        let sums = zones.entry(&state.entry.zone);
        let sums = sums.or_insert_with(|| LayerSums::new(model));
        if state.is_usable(now) && !state.is_silent(now) {
            sums.add(model, state, now);
        }
    }
    let zones = zones.into_iter();
    let zones = zones.map(|(zone, sums)| (zone.clone(), sums.capacity(zone)));
    zones.collect()
}

fn empty_zone(zone: &ZoneId) -> ZoneCapacity {
    ZoneCapacity {
        zone: zone.clone(),
        concurrent: 0.0,
        in_flight: 0.0,
        prompt_per_s: 0.0,
        unread: 0.0,
        demand: Vec::new(),
        organisations: Vec::new(),
        demand_age: NO_REPORT_AGE,
    }
}

fn set_demand(capacity: &mut ZoneCapacity, service: ServiceKey, reported: &ZoneDemand) {
    let demand = &reported.demand;
    let rates = demand.priorities.iter();
    let rates = rates.filter(|rate| rate.service == service);
    let rates = rates.map(|rate| PriorityDemand {
        priority: rate.priority,
        arrivals_per_s: rate.arrivals_per_s,
        refused_per_s: rate.refused_per_s,
        waiting: rate.waiting,
    });
    capacity.demand = rates.collect();
    capacity.demand.sort_by_key(|rate| rate.priority);
    let rates = demand.organisations.iter();
    let rates = rates.filter(|rate| rate.service == service);
    let rates = rates.map(|rate| OrganisationDemand {
        organisation: rate.organisation,
        priority: rate.priority,
        arrivals_per_s: rate.arrivals_per_s,
    });
    capacity.organisations = rates.collect();
    capacity.demand_age = demand.age + reported.known_for;
}

/// What one layer can run and has to process.
#[derive(Debug, Clone, Copy, Default)]
struct LayerSum {
    concurrent: f64,
    prompt_per_s: f64,
    unread: f64,
}

/// Sums over the engines of a zone.
#[derive(Debug)]
struct LayerSums {
    layers: Vec<LayerSum>,
    in_flight: f64,
}

impl LayerSums {
    fn new(model: &EngineModel) -> Self {
        Self {
            layers: vec![LayerSum::default(); model.layers as usize],
            in_flight: 0.0,
        }
    }

    /// Adds an engine to the layers that it holds. Its memory and its time are taken to be
    /// shared by all of them, as they are if every path uses all layers of each engine.
    fn add(&mut self, model: &EngineModel, state: &TargetState, now: Instant) {
        let kind = state.entry.kind.as_deref();
        let kind = kind.and_then(|kind| model.kinds.get(kind));
        let held = state.entry.layers_of(model.layers);
        let (Some(range), Some(kind)) = (held, kind.copied()) else {
            return;
        };
        let width = f64::from(range.width().max(1));
        let usual_tokens = f64::from(model.usual_prompt) + f64::from(model.usual_answer);
        let memory = model.cache_capacity(kind, range.width()) * MEMORY_OVERCOMMIT;
        let by_memory = memory / width / usual_tokens.max(1.0);
        let load = state.load();
        let slowness = (kind.read_factor * state.pace(now)).max(f64::MIN_POSITIVE);
        let sum = LayerSum {
            concurrent: by_memory,
            prompt_per_s: model.read_per_s * f64::from(model.layers) / width / slowness,
            unread: load.unread / width,
        };
        let held = range.from as usize..(range.to as usize).min(self.layers.len());
        // Every path begins at layer 0, and only its first engine gives it a slot.
        let starts = by_memory.min(f64::from(model.slots));
        if let (0, Some(first)) = (range.from, self.layers.first_mut()) {
            first.concurrent += starts;
            self.in_flight += f64::from(load.requests);
        }
        let held = self.layers.get_mut(held).into_iter().flatten();
        for (layer, index) in held.zip(range.from..) {
            if index > 0 {
                layer.concurrent += sum.concurrent;
            }
            layer.prompt_per_s += sum.prompt_per_s;
            layer.unread += sum.unread;
        }
    }

    fn capacity(&self, zone: &ZoneId) -> ZoneCapacity {
        let least = |of: fn(&LayerSum) -> f64| {
            let values = self.layers.iter().map(of);
            values.reduce(f64::min).unwrap_or(0.0)
        };
        let unread = self.layers.iter().map(|layer| layer.unread);
        ZoneCapacity {
            concurrent: least(|layer| layer.concurrent),
            in_flight: self.in_flight,
            prompt_per_s: least(|layer| layer.prompt_per_s),
            unread: unread.fold(0.0, f64::max),
            ..empty_zone(zone)
        }
    }
}
