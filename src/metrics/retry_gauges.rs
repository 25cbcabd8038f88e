//! Gauges of the retry budgets, whose sums over all hosts show how much of the platform's
//! bound is used.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::ids::ServiceId;
use crate::retry::WindowUsage;

type FloatGauge = Gauge<f64, AtomicU64>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// The gauges, which hold the last usage.
#[derive(Debug, Default)]
pub(super) struct RetryGauges {
    spent: Family<ServiceLabel, FloatGauge>,
    allowed: Family<ServiceLabel, FloatGauge>,
    hosts: Gauge,
}

impl RetryGauges {
    pub(super) fn register(&self, registry: &mut Registry) {
        let by_service = [
            (
                "retries_spent",
                "Retries that this host spent in the last window",
                &self.spent,
            ),
            (
                "retries_allowed",
                "Retries that this host may spend in the window",
                &self.allowed,
            ),
        ];
        for (name, help, family) in by_service {
            registry.register(name, help, family.clone());
        }
        let help = "Hosts among which the allowed retries are divided; 0 while unknown";
        registry.register("retry_hosts", help, self.hosts.clone());
    }

    pub(super) fn set_usage(&self, usage: &[(ServiceId, WindowUsage)]) {
        for (service, usage) in usage {
            let service = service.to_string();
            let label = ServiceLabel { service };
            self.spent.get_or_create(&label).set(usage.spent as f64);
            self.allowed.get_or_create(&label).set(usage.allowed);
        }
    }

    pub(super) fn set_hosts(&self, hosts: usize) {
        self.hosts.set(i64::try_from(hosts).unwrap_or(i64::MAX));
    }
}
