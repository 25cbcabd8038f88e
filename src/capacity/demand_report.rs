//! Demand as entry hosts report it to each other.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{OrganisationKey, ServiceKey, ZoneId};
use crate::rendezvous::rendezvous_score;

/// Seed of the keys, so that they differ from other hashes of the program.
const KEY_SEED: u64 = 0x6465_6d61;
/// Most pairs of a service and a priority in a report, and most organisations. A pair takes
/// 19 bytes and an organisation 13, so that a full report takes less than 700 bytes.
pub(crate) const MAX_PRIORITIES: usize = 16;
pub(crate) const MAX_ORGANISATIONS: usize = 16;

/// Returns the key of a service in messages.
pub fn service_key(service: &str) -> ServiceKey {
    rendezvous_score(KEY_SEED, "service", service)
}

/// Returns the key of an organisation, alike on all hosts. Callers without one share the
/// key of the empty name.
pub fn organisation_key(organisation: Option<&str>) -> OrganisationKey {
    rendezvous_score(KEY_SEED, "organisation", organisation.unwrap_or_default())
}

/// Demand of some hosts' callers for a service at one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorityRate {
    /// Key of the service.
    pub service: ServiceKey,
    /// The priority, 0 first.
    pub priority: u8,
    /// Requests that arrive in a second, refused ones included.
    pub arrivals_per_s: f64,
    /// Requests that are refused in a second for lack of capacity.
    pub refused_per_s: f64,
    /// Requests that wait to be started.
    pub waiting: u32,
}

/// Demand of one organisation for a service at one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrganisationRate {
    /// Key of the organisation.
    pub organisation: OrganisationKey,
    /// Key of the service.
    pub service: ServiceKey,
    /// The priority, 0 first.
    pub priority: u8,
    /// Requests that arrive in a second, refused ones included.
    pub arrivals_per_s: f64,
}

/// Demand of the callers of some hosts.
///
/// The organisations that are not listed have the difference between the arrivals of a
/// priority and those of its listed organisations.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DemandReport {
    /// Demand by service and priority, ordered by both.
    pub priorities: Vec<PriorityRate>,
    /// The largest organisations, ordered by service, priority and key. Each refers to a
    /// listed priority.
    pub organisations: Vec<OrganisationRate>,
    /// Age of the oldest count.
    pub age: Duration,
}

impl DemandReport {
    /// Creates a report of the largest of these rates, of which several may concern the
    /// same priority or organisation.
    pub fn new<P, O>(priorities: P, organisations: O, age: Duration) -> Self
    where
        P: IntoIterator<Item = PriorityRate>,
        O: IntoIterator<Item = OrganisationRate>,
    {
        let mut sums = BTreeMap::<(ServiceKey, u8), PriorityRate>::new();
        for rate in priorities {
            let sum = sums.entry((rate.service, rate.priority));
            let sum = sum.or_insert(PriorityRate {
                arrivals_per_s: 0.0,
                refused_per_s: 0.0,
                waiting: 0,
                ..rate
            });
            sum.arrivals_per_s += rate.arrivals_per_s;
            sum.refused_per_s += rate.refused_per_s;
            sum.waiting = sum.waiting.saturating_add(rate.waiting);
        }
        let is_demanded = |rate: &PriorityRate| {
            rate.arrivals_per_s > 0.0 || rate.refused_per_s > 0.0 || rate.waiting > 0
        };
        let sums = sums.into_values().filter(is_demanded).collect();
        let mut priorities = largest(sums, MAX_PRIORITIES, |rate| rate.arrivals_per_s);
        priorities.sort_by_key(|rate| (rate.service, rate.priority));
        let is_listed = |rate: &OrganisationRate| {
            let key = (rate.service, rate.priority);
            let found = priorities.binary_search_by_key(&key, |rate| (rate.service, rate.priority));
            found.is_ok() && rate.arrivals_per_s > 0.0
        };
        let mut sums = BTreeMap::<(ServiceKey, u8, OrganisationKey), OrganisationRate>::new();
        for rate in organisations.into_iter().filter(is_listed) {
            sums.entry((rate.service, rate.priority, rate.organisation))
                .and_modify(|sum| sum.arrivals_per_s += rate.arrivals_per_s)
                .or_insert(rate);
        }
        let sums = sums.into_values().collect();
        let mut organisations = largest(sums, MAX_ORGANISATIONS, |rate| rate.arrivals_per_s);
        organisations.sort_by_key(|rate| (rate.service, rate.priority, rate.organisation));
        Self {
            priorities,
            organisations,
            age,
        }
    }

    /// Returns whether the report states no demand.
    pub fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }

    /// Returns the sum of reports.
    pub fn sum<'a, I>(reports: I) -> Self
    where
        I: IntoIterator<Item = (&'a Self, Duration)>,
    {
        let reports = reports.into_iter().collect::<Vec<_>>();
        let priorities = reports.iter().flat_map(|(report, _)| &report.priorities);
        let organisations = reports.iter().flat_map(|(report, _)| &report.organisations);
        let ages = reports.iter().map(|(report, since)| report.age + *since);
        let age = ages.max().unwrap_or_default();
        Self::new(priorities.copied(), organisations.copied(), age)
    }
}

/// Returns the largest `limit` of these rates, in no particular order.
fn largest<R>(mut rates: Vec<R>, limit: usize, rate_of: impl Fn(&R) -> f64) -> Vec<R> {
    if rates.len() > limit {
        // Stable, so that equal rates leave the choice to the order of their keys.
        rates.sort_by_key(|rate| Reverse((rate_of(rate) * 1000.0) as u64));
        rates.truncate(limit);
    }
    rates
}

/// Demand of the callers of all hosts of a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneDemand {
    /// The zone.
    pub zone: ZoneId,
    /// The demand.
    pub demand: DemandReport,
    /// Time since the first host of the recipient's zone received it.
    pub known_for: Duration,
}
