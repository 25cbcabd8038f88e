//! The shares in effect, which follow the present capacity and demand in steps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::balance::{ZoneFlow, target_flows};
use crate::capacity::{CapacityView, ServiceCapacity, ZoneCapacity};
use crate::ids::{ServiceId, ZoneId};

/// Most by which a share grows in one update. At four updates a second, it follows demand
/// that varies by 0.55 of its mean with a period of 13 s, and a single wrong report moves
/// few requests.
const GROWTH_STEP: f64 = 0.05;
/// Most by which a share falls in one update: twice the growth, since a share that is no
/// longer needed moves requests without use.
const DECLINE_STEP: f64 = 0.1;
/// Share below which one that is to end ends.
const LEAST_SHARE: f64 = 0.01;
/// Age from which shares are not used: the table is no longer updated.
const MAX_TABLE_AGE: Duration = Duration::from_secs(2);
/// Least time between two reports of a share that goes on.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// A share that began, went on for some seconds, or ended.
#[derive(Debug, Clone, PartialEq)]
pub struct BalanceEvent {
    /// The service.
    pub service: ServiceId,
    /// The share; 0 at its end.
    pub flow: ZoneFlow,
    /// Utilisation of the zone that sends, if it is known.
    pub from_utilisation: Option<f64>,
    /// Utilisation of the zone that gets the requests, if it is known.
    pub to_utilisation: Option<f64>,
}

/// The shares of one service.
#[derive(Debug, Clone, Default)]
struct ServiceFlows {
    /// When the view was built from which the shares were last updated.
    view_at: Option<Instant>,
    flows: Vec<ZoneFlow>,
}

/// The shares of all services between all zones. Each host computes those of all zones:
/// whether a zone may send depends on whether it gets requests of others.
#[derive(Debug, Clone, Default)]
pub struct BalanceTable {
    services: BTreeMap<ServiceId, ServiceFlows>,
    updated_at: Option<Instant>,
    /// When each share of this host's zone was last reported.
    reported: BTreeMap<(ServiceId, ZoneId), Instant>,
}

impl BalanceTable {
    /// Moves all shares one step towards those that the view calls for. Shares of services
    /// that the view does not have, or has too old, end at once. Returns what to report
    /// about the requests of the zone `own`.
    pub fn update(&mut self, view: &CapacityView, own: &str, now: Instant) -> Vec<BalanceEvent> {
        self.updated_at = Some(now);
        let before = std::mem::take(&mut self.services);
        for name in view.services.keys() {
            let Some(capacity) = view.service(name, now) else {
                continue;
            };
            let earlier = before.get(name).cloned().unwrap_or_default();
            let flows = match earlier.view_at == view.built_at {
                true => earlier.flows,
                false => step_flows(&earlier.flows, target_flows(capacity, &earlier.flows)),
            };
            let view_at = view.built_at;
            self.services
                .insert(name.clone(), ServiceFlows { view_at, flows });
        }
        self.due_events(view, own, now)
    }

    /// Returns the other zone that a request of a zone goes to. `draw` returns a random
    /// number from 0 to 1, and is called only if the zone sends requests away.
    pub fn preferred_zone<D>(
        &self,
        service: &str,
        own: &str,
        now: Instant,
        draw: D,
    ) -> Option<&ZoneId>
    where
        D: FnOnce() -> f64,
    {
        let is_current = |at: Instant| now.saturating_duration_since(at) < MAX_TABLE_AGE;
        self.updated_at.filter(|at| is_current(*at))?;
        let flows = self.flows(service).iter();
        let mut sent = flows.filter(|flow| *flow.from == *own).peekable();
        sent.peek()?;
        let mut left = draw();
        for flow in sent {
            if left < flow.share {
                return Some(&flow.to);
            }
            left -= flow.share;
        }
        None
    }

    /// Returns the shares of a service.
    pub fn flows(&self, service: &str) -> &[ZoneFlow] {
        self.services
            .get(service)
            .map_or(&[], |service| &service.flows)
    }

    /// Returns all services and their shares.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &[ZoneFlow])> {
        let services = self.services.iter();
        services.map(|(service, known)| (service, known.flows.as_slice()))
    }

    fn sent<'a>(&'a self, service: &str, own: &'a str) -> impl Iterator<Item = &'a ZoneFlow> {
        let flows = self.flows(service).iter();
        flows.filter(move |flow| *flow.from == *own)
    }

    fn due_events(&mut self, view: &CapacityView, own: &str, now: Instant) -> Vec<BalanceEvent> {
        let event = |service: &ServiceId, flow: ZoneFlow| {
            let capacity = view.services.get(service);
            let utilisation = |zone: &str| {
                let zone = capacity.and_then(|capacity: &ServiceCapacity| capacity.zone(zone));
                zone.map(ZoneCapacity::utilisation)
            };
            BalanceEvent {
                service: service.clone(),
                from_utilisation: utilisation(&flow.from),
                to_utilisation: utilisation(&flow.to),
                flow,
            }
        };
        let mut events = Vec::new();
        let mut reported = std::mem::take(&mut self.reported);
        reported.retain(|(service, to), _| {
            let goes_on = self.sent(service, own).any(|flow| flow.to == *to);
            if !goes_on {
                let ended = ZoneFlow {
                    from: own.into(),
                    to: to.clone(),
                    share: 0.0,
                };
                events.push(event(service, ended));
            }
            goes_on
        });
        for service in self.services.keys() {
            for flow in self.sent(service, own) {
                let key = (service.clone(), flow.to.clone());
                let is_due = |at: &Instant| now >= *at + REPORT_INTERVAL;
                if reported.get(&key).is_none_or(is_due) {
                    reported.insert(key, now);
                    events.push(event(service, flow.clone()));
                }
            }
        }
        self.reported = reported;
        events
    }
}

/// Returns the shares after one step towards `targets`. A share without a target ends at
/// once: its receiver has no room, or one of the zones is no longer known.
fn step_flows(before: &[ZoneFlow], targets: Vec<ZoneFlow>) -> Vec<ZoneFlow> {
    let stepped = targets.into_iter().map(|target| {
        let same = |flow: &&ZoneFlow| flow.from == target.from && flow.to == target.to;
        let share = before.iter().find(same).map_or(0.0, |flow| flow.share);
        let change = (target.share - share).clamp(-DECLINE_STEP, GROWTH_STEP);
        ZoneFlow {
            share: share + change,
            ..target
        }
    });
    let stepped = stepped.filter(|flow| flow.share >= LEAST_SHARE);
    stepped.collect()
}
