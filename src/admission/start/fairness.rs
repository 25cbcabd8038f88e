//! Max-min fairness between the organisations of one rank.

use std::collections::BTreeMap;

use crate::capacity::ZoneCapacity;
use crate::shares::divide;

/// Units in which rates are divided, per request a second.
const UNITS: f64 = 10.0;

/// Returns whether an organisation asks for more than its max-min fair share of what its
/// rank is served. Organisations that the view does not list are small and never do.
pub fn exceeds_fair_share(zone: &ZoneCapacity, priority: u8, organisation: u64) -> bool {
    let Some(demand) = zone.demand.iter().find(|part| part.priority == priority) else {
        return false;
    };
    if demand.refused_per_s <= 0.0 {
        return false;
    }
    let listed = zone.organisations.iter();
    let listed = listed.filter(|part| part.priority == priority);
    let mut wants = listed
        .clone()
        .map(|part| units(part.arrivals_per_s))
        .collect::<Vec<_>>();
    let position = listed
        .clone()
        .position(|part| part.organisation == organisation);
    let Some(position) = position else {
        return false;
    };
    let unlisted = demand.arrivals_per_s - listed.map(|part| part.arrivals_per_s).sum::<f64>();
    wants.push(units(unlisted));
    let served = units(demand.arrivals_per_s - demand.refused_per_s);
    divide(served, &wants)[position] < wants[position]
}

fn units(rate: f64) -> u32 {
    (rate.max(0.0) * UNITS) as u32
}

/// Returns the organisations of which the next request may start: those below their
/// max-min fair share of the starts so far and one more. `counts` is the number of recent
/// starts and of waiting requests, by organisation.
pub fn fair_next(counts: &BTreeMap<u64, (u32, u32)>) -> Vec<u64> {
    let wants = counts.values().map(|(started, waiting)| started + waiting);
    let started = counts.values().map(|(started, _)| started).sum::<u32>();
    let parts = divide(started + 1, &wants.collect::<Vec<_>>());
    let below = counts.iter().zip(parts);
    let below = below.filter(|((_, (started, waiting)), part)| *waiting > 0 && part > started);
    below.map(|((organisation, _), _)| *organisation).collect()
}
