//! The shares that the present capacity and demand of a service call for.

use std::time::Duration;

use crate::capacity::{ServiceCapacity, ZoneCapacity};
use crate::ids::ZoneId;

/// Utilisation up to which a zone keeps all its requests. Requests wait from 1, and those
/// that arrive while views are up to a second late add about a tenth.
const KEPT_UTILISATION: f64 = 0.85;
/// Utilisation above that of the balanced state at which a zone begins to send: about the
/// random variation of a zone's requests in flight.
const DEAD_BAND: f64 = 0.05;
/// Measured utilisation below which a zone sends nothing, whatever its demand suggests:
/// its engines are faster than those of the others.
const MIN_SENDER_UTILISATION: f64 = 0.6;
/// Largest part of a zone's requests that is sent away. The engines of a zone that no
/// longer gets requests report nothing about how well they serve.
const MAX_SENT: f64 = 0.6;
/// Age from which the demand of a zone says nothing: the zone may be cut off.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(2);
/// Arrivals a second of all zones below which shares of the demand are chance.
const MIN_ARRIVALS_PER_S: f64 = 1.0;

/// Part of the requests of one zone's callers that goes to another zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneFlow {
    /// The zone of the callers.
    pub from: ZoneId,
    /// The zone whose targets get the requests.
    pub to: ZoneId,
    /// Part of the requests, from 0 to 1.
    pub share: f64,
}

/// A zone and the requests that would be in flight on its targets if none were moved.
#[derive(Debug)]
struct ZoneLoad<'a> {
    zone: &'a ZoneCapacity,
    load: f64,
    is_sender: bool,
    is_receiver: bool,
}

impl ZoneLoad<'_> {
    /// Returns the requests beyond those that the zone runs at a utilisation, or 0.
    fn excess(&self, utilisation: f64) -> f64 {
        (self.load - utilisation * self.zone.concurrent).max(0.0)
    }

    /// Returns the requests that the zone can add up to a utilisation, or 0.
    fn spare(&self, utilisation: f64) -> f64 {
        (utilisation * self.zone.concurrent - self.load).max(0.0)
    }
}

/// Returns the shares at which no zone exceeds the utilisation of the balanced state.
/// `current` are the shares in effect. A zone that gets requests of others appears only
/// as `to`, one that sends only as `from`; a receiver that is no longer one is left out,
/// and one that needs no more now has the share 0.
///
/// The load of a zone is judged by its part of the arrivals, which leads the requests in
/// flight by half of their run time and does not change as requests are moved, and by the
/// requests in flight where these are more.
pub fn target_flows(capacity: &ServiceCapacity, current: &[ZoneFlow]) -> Vec<ZoneFlow> {
    let is_known =
        |zone: &&ZoneCapacity| zone.concurrent >= 1.0 && zone.demand_age < MAX_DEMAND_AGE;
    let known = capacity.zones.iter().filter(is_known).collect::<Vec<_>>();
    let sum = |of: &dyn Fn(&ZoneCapacity) -> f64| known.iter().map(|zone| of(zone)).sum::<f64>();
    let arrivals = sum(&|zone| zone.arrivals_per_s());
    let in_flight = sum(&|zone| zone.in_flight);
    let concurrent = sum(&|zone| zone.concurrent);
    if known.len() < 2 || arrivals < MIN_ARRIVALS_PER_S {
        return Vec::new();
    }
    let balanced = (in_flight / concurrent).max(KEPT_UTILISATION);
    let per_arrival = in_flight / arrivals;
    let rate = |name: &ZoneId| {
        capacity
            .zone(name)
            .map_or(0.0, ZoneCapacity::arrivals_per_s)
    };
    let loads = known.iter().map(|zone| {
        let sends = current.iter().any(|flow| flow.from == zone.zone);
        let received = current.iter().filter(|flow| flow.to == zone.zone);
        let received = received.map(|flow| flow.share * rate(&flow.from) * per_arrival);
        let load = (zone.arrivals_per_s() * per_arrival)
            .max(zone.in_flight - received.sum::<f64>())
            .max(0.0);
        let band = if sends { 0.0 } else { DEAD_BAND };
        ZoneLoad {
            zone,
            load,
            is_sender: load > (balanced + band) * zone.concurrent
                && zone.utilisation() >= MIN_SENDER_UTILISATION,
            is_receiver: load < balanced * zone.concurrent && !sends,
        }
    });
    let loads = loads.collect::<Vec<_>>();
    let senders = || loads.iter().filter(|load| load.is_sender);
    let receivers = || loads.iter().filter(|load| load.is_receiver);
    let excess = senders().map(|load| load.excess(balanced)).sum::<f64>();
    let spare = receivers().map(|load| load.spare(balanced)).sum::<f64>();
    let sent_by = |load: &ZoneLoad<'_>| {
        let sent = load.excess(balanced) * (spare / excess).min(1.0);
        (sent / load.load).min(MAX_SENT)
    };
    let mut flows = Vec::new();
    for receiver in receivers() {
        let part = receiver.spare(balanced) / spare;
        flows.extend(senders().map(|sender| ZoneFlow {
            from: sender.zone.zone.clone(),
            to: receiver.zone.zone.clone(),
            share: sent_by(sender) * part,
        }));
        // The sender no longer needs this zone; its share falls in steps.
        let ending = current.iter().filter(|flow| {
            let is_known = loads.iter().any(|load| load.zone.zone == flow.from);
            flow.to == receiver.zone.zone
                && is_known
                && !senders().any(|sender| sender.zone.zone == flow.from)
        });
        flows.extend(ending.map(|flow| ZoneFlow {
            share: 0.0,
            ..flow.clone()
        }));
    }
    flows
}
