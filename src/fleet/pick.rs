//! The choice of a target of a plain service.

use std::time::{Duration, Instant};

use crate::fleet::{ServiceMembers, TargetState};
use crate::ids::TargetId;

/// Cost of a target in another availability zone, in requests in flight: crossing zones
/// takes about a millisecond, a request 30.
const ZONE_PENALTY: f64 = 1.0;

/// Cost of a target that other hosts found ended, in requests in flight: it is used before an
/// ejected one, and after all others.
const ENDED_COST: f64 = 1e5;

/// Requests that one slot serves in a second: the cost of a second of waiting for a
/// permit or for the end of a pause, in requests in flight.
const REQUESTS_PER_S: f64 = 30.0;

/// Chooses the target with the fewest requests, preferring the host's own availability
/// zone. Targets in `avoid`, leaving targets and those whose pause is longer than
/// `max_pause` are left out; ejected targets are chosen only if no other is left. `draw` is
/// a random number from 0 to 1, which breaks ties.
pub fn choose_target(
    members: &ServiceMembers,
    zone: &str,
    avoid: &[TargetId],
    max_pause: Duration,
    now: Instant,
    draw: f64,
) -> Option<TargetId> {
    let accepts_work =
        |state: &&TargetState| !state.is_leaving() && state.remaining_pause(now) <= max_pause;
    let untried = |state: &&TargetState| !avoid.contains(&state.entry.id);
    let candidates = members.values().filter(accepts_work).filter(untried);
    let cost = |state: &TargetState| {
        let far = if &*state.entry.zone == zone {
            0.0
        } else {
            ZONE_PENALTY
        };
        let out = if state.is_ejected(now) { 1e6 } else { 0.0 };
        let ended = if state.is_reported_ended(now) {
            ENDED_COST
        } else {
            0.0
        };
        let wait = state.permit_wait(now).max(state.remaining_pause(now));
        let wait = wait.as_secs_f64() * REQUESTS_PER_S;
        f64::from(state.load().requests) + far + out + ended + wait
    };
    let mut best = Vec::new();
    let mut least = f64::INFINITY;
    for state in candidates {
        let cost = cost(state);
        match cost.total_cmp(&least) {
            std::cmp::Ordering::Less => {
                least = cost;
                best.clear();
                best.push(state.entry.id.clone());
            }
            std::cmp::Ordering::Equal => best.push(state.entry.id.clone()),
            std::cmp::Ordering::Greater => {}
        }
    }
    let index = (draw * best.len() as f64) as usize;
    best.get(index.min(best.len().saturating_sub(1))).cloned()
}
