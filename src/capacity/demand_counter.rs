//! Counts the requests of this host's callers.

use std::time::{Duration, Instant};

use super::demand_report::{DemandReport, OrganisationRate, PriorityRate};
use super::{organisation_key, service_key};
use crate::collections::FastMap;
use crate::ids::{OrganisationKey, ServiceId, ServiceKey};

/// Time over which requests are counted for a rate. A wave with a period of 13 s changes
/// demand by up to a quarter in a second; over less than a second, the arrivals of a zone
/// of some 90 a second vary by more than a tenth by chance.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Parts of the window.
const PARTS: usize = 4;
/// Most counted pairs of a service and a priority, and most counted organisations. What
/// goes beyond is not counted until the rates of others are zero.
const MAX_COUNTED: usize = 256;

/// Events in the parts of the window and in the current part.
#[derive(Debug, Clone, Copy, Default)]
struct RecentCount {
    /// Number of the newest part, from the start of the counter.
    newest: u64,
    /// Events by part, in a ring.
    parts: [u32; PARTS + 1],
}

impl RecentCount {
    fn advance(&mut self, part: u64) {
        let passed = part.saturating_sub(self.newest).min(PARTS as u64 + 1);
        for step in 0..passed {
            self.parts[ring_index(part - step)] = 0;
        }
        self.newest = self.newest.max(part);
    }

    fn count(&mut self, part: u64) {
        self.advance(part);
        let events = &mut self.parts[ring_index(self.newest)];
        *events = events.saturating_add(1);
    }

    fn events(mut self, part: u64) -> f64 {
        self.advance(part);
        self.parts.iter().map(|events| f64::from(*events)).sum()
    }
}

fn ring_index(part: u64) -> usize {
    (part % (PARTS as u64 + 1)) as usize
}

/// Events of one service and priority.
#[derive(Debug, Clone, Copy, Default)]
struct PriorityCount {
    arrivals: RecentCount,
    refusals: RecentCount,
    waiting: u32,
}

/// Counters of the requests of this host's callers, by service and priority and by
/// organisation.
#[derive(Debug, Default)]
pub struct DemandCounter {
    /// When the first event was counted.
    started: Option<Instant>,
    priorities: FastMap<(ServiceKey, u8), PriorityCount>,
    organisations: FastMap<(ServiceKey, u8, OrganisationKey), RecentCount>,
    /// Keys of the services that were counted, so that none is hashed for each request.
    keys: FastMap<ServiceId, ServiceKey>,
}

impl DemandCounter {
    /// Counts the arrival of a request.
    pub fn count_arrival(
        &mut self,
        service: &ServiceId,
        priority: u8,
        organisation: Option<&str>,
        now: Instant,
    ) {
        let part = self.part(now);
        let service = self.key(service);
        if let Some(count) = self.priority_count(service, priority, part) {
            count.arrivals.count(part);
        }
        let key = (service, priority, organisation_key(organisation));
        if self.organisations.len() >= MAX_COUNTED && !self.organisations.contains_key(&key) {
            self.organisations
                .retain(|_, count| count.events(part) > 0.0);
        }
        if self.organisations.len() < MAX_COUNTED || self.organisations.contains_key(&key) {
            self.organisations.entry(key).or_default().count(part);
        }
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn count_capacity_refusal(&mut self, service: &ServiceId, priority: u8, now: Instant) {
        let part = self.part(now);
        let service = self.key(service);
        if let Some(count) = self.priority_count(service, priority, part) {
            count.refusals.count(part);
        }
    }

    /// Sets the number of requests that wait to be started.
    pub fn set_waiting(&mut self, service: &ServiceId, priority: u8, waiting: u32, now: Instant) {
        let part = self.part(now);
        let service = self.key(service);
        if let Some(count) = self.priority_count(service, priority, part) {
            count.waiting = waiting;
        }
    }

    /// Returns the rates, or nothing in the first second after the first event: they would
    /// rest on too little time.
    pub fn report(&self, now: Instant) -> DemandReport {
        let Some(started) = self.started else {
            return DemandReport::default();
        };
        let since = now.saturating_duration_since(started);
        if since < RATE_WINDOW {
            return DemandReport::default();
        }
        let part = part_of(since);
        let part_time = RATE_WINDOW / PARTS as u32;
        let counted = (part_time * PARTS as u32).min(since) + since - part_time * part as u32;
        let counted = counted.min(since).as_secs_f64();
        let rate = |count: RecentCount| count.events(part) / counted;
        let priorities = self.priorities.iter();
        let priorities = priorities.map(|((service, priority), count)| PriorityRate {
            service: *service,
            priority: *priority,
            arrivals_per_s: rate(count.arrivals),
            refused_per_s: rate(count.refusals),
            waiting: count.waiting,
        });
        let organisations = self.organisations.iter();
        let organisations =
            organisations.map(
                |((service, priority, organisation), count)| OrganisationRate {
                    organisation: *organisation,
                    service: *service,
                    priority: *priority,
                    arrivals_per_s: rate(*count),
                },
            );
        DemandReport::new(priorities, organisations, Duration::ZERO)
    }

    fn part(&mut self, now: Instant) -> u64 {
        let started = *self.started.get_or_insert(now);
        part_of(now.saturating_duration_since(started))
    }

    fn key(&mut self, service: &ServiceId) -> ServiceKey {
        match self.keys.get(service) {
            Some(key) => *key,
            None => {
                let key = service_key(service);
                // Services that were removed from the configuration stay otherwise.
                if self.keys.len() >= MAX_COUNTED {
                    self.keys.clear();
                }
                self.keys.insert(service.clone(), key);
                key
            }
        }
    }

    fn priority_count(
        &mut self,
        service: ServiceKey,
        priority: u8,
        part: u64,
    ) -> Option<&mut PriorityCount> {
        let key = (service, priority);
        if self.priorities.len() >= MAX_COUNTED && !self.priorities.contains_key(&key) {
            let is_used = |count: &PriorityCount| {
                let events = count.arrivals.events(part) + count.refusals.events(part);
                events > 0.0 || count.waiting > 0
            };
            self.priorities.retain(|_, count| is_used(count));
            if self.priorities.len() >= MAX_COUNTED {
                return None;
            }
        }
        Some(self.priorities.entry(key).or_default())
    }
}

fn part_of(since: Duration) -> u64 {
    let part_ms = RATE_WINDOW.as_millis() as u64 / PARTS as u64;
    since.as_millis() as u64 / part_ms
}
