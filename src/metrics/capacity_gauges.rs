//! Gauges of the capacity and the demand of services by zone.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::capacity::{CapacityView, PriorityDemand, ZoneCapacity};

type FloatGauge = Gauge<f64, AtomicU64>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabels {
    service: String,
    zone: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DemandLabels {
    service: String,
    zone: String,
    priority: u8,
}

/// The gauges, which hold the last view.
#[derive(Debug, Default)]
pub(super) struct CapacityGauges {
    concurrent: Family<ZoneLabels, FloatGauge>,
    in_flight: Family<ZoneLabels, FloatGauge>,
    prompt_per_s: Family<ZoneLabels, FloatGauge>,
    unread: Family<ZoneLabels, FloatGauge>,
    arrivals: Family<DemandLabels, FloatGauge>,
    refusals: Family<DemandLabels, FloatGauge>,
    waiting: Family<DemandLabels, FloatGauge>,
}

impl CapacityGauges {
    pub(super) fn register(&self, registry: &mut Registry) {
        let by_zone = [
            (
                "capacity_concurrent",
                "Requests of usual size that a zone's engines can run at once",
                &self.concurrent,
            ),
            (
                "capacity_in_flight",
                "Requests in flight on a zone's engines, of all hosts",
                &self.in_flight,
            ),
            (
                "capacity_prompt_tokens_per_second",
                "Prompt tokens that a zone's engines process in a second",
                &self.prompt_per_s,
            ),
            (
                "capacity_unread_tokens",
                "Prompt tokens that a zone's engines have not processed yet",
                &self.unread,
            ),
        ];
        for (name, help, family) in by_zone {
            registry.register(name, help, family.clone());
        }
        let by_priority = [
            (
                "demand_arrivals_per_second",
                "Requests that arrive at a zone's hosts in a second",
                &self.arrivals,
            ),
            (
                "demand_refusals_per_second",
                "Requests that a zone's hosts refuse in a second for lack of capacity",
                &self.refusals,
            ),
            (
                "demand_waiting",
                "Requests that wait at a zone's hosts to be started",
                &self.waiting,
            ),
        ];
        for (name, help, family) in by_priority {
            registry.register(name, help, family.clone());
        }
    }

    /// Replaces what the gauges hold.
    pub(super) fn set(&self, view: &CapacityView) {
        // Series of services, zones and priorities that are gone would stay otherwise.
        for family in [
            &self.concurrent,
            &self.in_flight,
            &self.prompt_per_s,
            &self.unread,
        ] {
            family.clear();
        }
        for family in [&self.arrivals, &self.refusals, &self.waiting] {
            family.clear();
        }
        for (service, capacity) in &view.services {
            for zone in &capacity.zones {
                self.set_zone(service, zone);
                for demand in &zone.demand {
                    self.set_demand(service, &zone.zone, demand);
                }
            }
        }
    }

    fn set_zone(&self, service: &str, zone: &ZoneCapacity) {
        let labels = ZoneLabels {
            service: service.to_owned(),
            zone: zone.zone.to_string(),
        };
        self.concurrent.get_or_create(&labels).set(zone.concurrent);
        self.in_flight.get_or_create(&labels).set(zone.in_flight);
        self.prompt_per_s
            .get_or_create(&labels)
            .set(zone.prompt_per_s);
        self.unread.get_or_create(&labels).set(zone.unread);
    }

    fn set_demand(&self, service: &str, zone: &str, demand: &PriorityDemand) {
        let labels = DemandLabels {
            service: service.to_owned(),
            zone: zone.to_owned(),
            priority: demand.priority,
        };
        let waiting = f64::from(demand.waiting);
        self.arrivals
            .get_or_create(&labels)
            .set(demand.arrivals_per_s);
        self.refusals
            .get_or_create(&labels)
            .set(demand.refused_per_s);
        self.waiting.get_or_create(&labels).set(waiting);
    }
}
