//! The choice of a path: engines whose ranges cover every layer once, in order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fleet::{LayerRange, RequestSize, ServiceMembers, TargetState};
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::ingress::EngineModel;

/// Fixed cost of one more engine on a path, in milliseconds per event: a hop within the
/// availability zone takes 0.2 ms one way, and a request waits for the pass that the
/// engine is running, a few milliseconds at light load.
const HOP_MS: f64 = 2.0;
/// Cost of a path outside the availability zone, in milliseconds per event: about that of
/// two more busy engines. Streams on engines of another zone are late when the zones are
/// cut off from each other; at 10 ms, two requests of five use another zone without need.
const REMOTE_ZONE_MS: f64 = 70.0;
/// Ratio of the memory that may be reserved to the memory of an engine. A request holds
/// its whole response only at its end, and half of it on average. If the requests still
/// do not fit, the newest one is prefilled again, which makes it late but does not lose
/// it.
pub(crate) const MEMORY_OVERCOMMIT: f64 = 1.2;
/// Random part of an engine's cost. Hosts learn of each other's requests some hundred
/// milliseconds late; without the random part, all of them would choose the same engines
/// in the meantime.
const COST_SPREAD: f64 = 0.3;
/// Cost of a millisecond of prompt processing before the first event, or of waiting for a
/// permit or for the end of a pause, in milliseconds per event. After the loss of an
/// engine, its requests are prefilled elsewhere, such as 60 requests of 1,000 tokens at
/// once; a request sent to the same engine then waits for some 300 ms of its latency aim
/// of 500 ms.
const PREFILL_WEIGHT: f64 = 0.3;
/// Part of an engine's slots that requests may take before a choice learns of them, at most:
/// what a zone of 88 hosts sends to one first engine in half a second. The wait for a slot
/// counts from 0.75 of the slots on, and each choice adds a random part of the other quarter,
/// so that hosts with the same late view do not all choose the same engine.
const SLOT_SPREAD: f64 = 0.25;
/// Cost of an engine whose memory is full, or that other hosts found ended, in milliseconds
/// per event. Such an engine is used only if no other path exists.
const FULL_ENGINE_MS: f64 = 1e4;

/// One engine of a path and the layers that it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathHop {
    /// The engine.
    pub target: TargetId,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// The layers.
    pub layers: LayerRange,
}

/// Engines that together run every layer once, in order.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePath {
    /// The engines, in the order of their layers.
    pub hops: Vec<PathHop>,
    /// Expected cost, in milliseconds per event.
    pub cost_ms: f64,
    /// Expected time to the first event, in milliseconds: waiting for a slot of the first
    /// engine, for permits and pauses, and processing of the prompt.
    pub first_event_ms: f64,
    /// Whether an engine on it has no memory left for the request.
    pub full: bool,
}

/// The inputs of the choice besides the engines.
#[derive(Debug, Clone, Copy)]
pub struct PathQuery<'a> {
    /// Costs and sizes of the engines.
    pub model: &'a EngineModel,
    /// Size of the request.
    pub size: RequestSize,
    /// The availability zone of this host.
    pub zone: &'a str,
    /// Engines not to use.
    pub avoid: &'a [TargetId],
    /// Longest pause of an engine that may be used. Zero for a request that is sent now.
    pub max_pause: Duration,
    /// Another availability zone whose paths cost nothing extra for this request.
    pub preferred_zone: Option<&'a str>,
}

/// Chooses the cheapest path within one availability zone, or across zones if no zone has
/// a complete path. Paths of the preferred zone, if there is one, cost nothing extra. `draw`
/// returns random numbers from 0 to 1.
pub fn choose_path<D>(
    members: &ServiceMembers,
    query: PathQuery<'_>,
    now: Instant,
    mut draw: D,
) -> Option<EnginePath>
where
    D: FnMut() -> f64,
{
    let engines = usable_engines(members, query, now);
    let whole = LayerRange {
        from: 0,
        to: query.model.layers,
    };
    let local = engines.iter().copied();
    let local = local.filter(|state| *state.entry.zone == *query.zone);
    let local = local.collect::<Vec<_>>();
    let mut best = cheapest(&local, query, whole, now, &mut draw);
    let is_cheap = |path: &EnginePath| path.cost_ms <= REMOTE_ZONE_MS;
    if query.preferred_zone.is_none() && best.as_ref().is_some_and(is_cheap) {
        return best;
    }
    for (zone, engines) in remote_zones(&engines, query.zone) {
        let Some(mut path) = cheapest(&engines, query, whole, now, &mut draw) else {
            continue;
        };
        if query.preferred_zone != Some(zone) {
            path.cost_ms += REMOTE_ZONE_MS;
        }
        if best.as_ref().is_none_or(|best| path.cost_ms < best.cost_ms) {
            best = Some(path);
        }
    }
    match best {
        Some(path) if !path.full && !has_ended(&path, members, now) => Some(path),
        found => cheapest(&engines, query, whole, now, &mut draw)
            .map(|mut path| {
                path.cost_ms += REMOTE_ZONE_MS;
                path
            })
            .filter(|path| {
                found
                    .as_ref()
                    .is_none_or(|found| path.cost_ms < found.cost_ms)
            })
            .or(found),
    }
}

/// Replaces the engine of one hop by others and keeps the rest of the path, so that the
/// other engines keep the prompt that they have processed. Returns `None` if no engine
/// outside of the path holds those layers.
pub fn repair_path<D>(
    members: &ServiceMembers,
    query: PathQuery<'_>,
    path: &EnginePath,
    failed: usize,
    now: Instant,
    mut draw: D,
) -> Option<EnginePath>
where
    D: FnMut() -> f64,
{
    let span = path.hops.get(failed)?.layers;
    let on_path = |state: &&TargetState| path.hops.iter().any(|hop| hop.target == state.entry.id);
    let mut engines = usable_engines(members, query, now);
    engines.retain(|state| !on_path(state));
    let local = engines.iter().copied();
    let local = local.filter(|state| *state.entry.zone == *query.zone);
    let local = local.collect::<Vec<_>>();
    let part = match cheapest(&local, query, span, now, &mut draw) {
        Some(part) if !part.full && !has_ended(&part, members, now) => Some(part),
        found => cheapest(&engines, query, span, now, &mut draw).or(found),
    }?;
    let mut hops = path.hops.clone();
    hops.splice(failed..=failed, part.hops);
    Some(EnginePath {
        hops,
        cost_ms: path.cost_ms,
        first_event_ms: part.first_event_ms,
        full: part.full,
    })
}

/// Returns whether other hosts found an engine of a path ended.
fn has_ended(path: &EnginePath, members: &ServiceMembers, now: Instant) -> bool {
    let mut states = path.hops.iter().filter_map(|hop| members.get(&hop.target));
    states.any(|state| state.is_reported_ended(now))
}

fn usable_engines<'a>(
    members: &'a ServiceMembers,
    query: PathQuery<'_>,
    now: Instant,
) -> Vec<&'a TargetState> {
    let usable = |state: &&TargetState| {
        state.is_usable(now)
            && state.remaining_pause(now) <= query.max_pause
            && state.entry.layers_of(query.model.layers).is_some()
            && !query.avoid.contains(&state.entry.id)
    };
    members.values().filter(usable).collect()
}

/// Returns the engines of each other availability zone, by the zones' names.
fn remote_zones<'a>(
    engines: &[&'a TargetState],
    own: &str,
) -> BTreeMap<&'a ZoneId, Vec<&'a TargetState>> {
    let mut zones = BTreeMap::<&ZoneId, Vec<&TargetState>>::new();
    for engine in engines.iter().filter(|state| *state.entry.zone != *own) {
        zones.entry(&engine.entry.zone).or_default().push(engine);
    }
    zones
}

/// The cost of an engine for a request, for any of its layers.
#[derive(Debug, Clone, Copy)]
struct EngineCost {
    /// Index among the engines that the path is chosen from.
    engine: usize,
    range: LayerRange,
    /// Cost of one more hop, to this engine, in milliseconds per event.
    hop_ms: f64,
    /// Cost of each layer that the engine runs, in milliseconds per event.
    layer_ms: f64,
    /// Time that the engine adds until the first event, in milliseconds.
    first_event_ms: f64,
    full: bool,
}

fn engine_cost(
    engine: usize,
    state: &TargetState,
    query: PathQuery<'_>,
    now: Instant,
    draw: f64,
) -> Option<EngineCost> {
    let range = state.entry.layers_of(query.model.layers)?;
    let kind = state.entry.kind.as_deref()?;
    let kind = *query.model.kinds.get(kind)?;
    let model = query.model;
    let layers = f64::from(model.layers);
    let stride = f64::from(model.stride);
    let context_k = query.size.tokens() / 1000.0;
    let load = state.load();
    let others = f64::from(load.requests);
    let request_time_ms =
        model.per_request_ms * kind.read_factor + context_k * model.per_context_k_ms * kind.pace;
    let nominal_step_ms = model.step_ms * kind.pace + (others + 1.0) * request_time_ms;
    let step_ms = nominal_step_ms * state.pace(now);
    // A request waits for the rest of a pass and then for its own: on an engine that is
    // always busy, the work costs about one and a half passes.
    let pass_ms = stride * step_ms * f64::from(range.width()) / layers;
    let capacity = model.cache_capacity(kind, range.width());
    let need = query.size.tokens() * f64::from(range.width());
    let fill_level = (load.reserved + need) / (capacity * MEMORY_OVERCOMMIT).max(1.0);
    let full = fill_level > 1.0 || state.is_full(now);
    // Not `full`, since a request whose every path is full is refused.
    let avoided = full || state.is_reported_ended(now);
    let unread = load.unread + f64::from(query.size.prompt) * f64::from(range.width());
    let read_ms =
        unread / layers * kind.read_factor * state.pace(now) * 1000.0 / model.read_per_s.max(1.0);
    let wait = state.permit_wait(now).max(state.remaining_pause(now));
    let wait_ms = wait.as_secs_f64() * 1000.0;
    let unseen = f64::from(model.slots) * SLOT_SPREAD * draw;
    let (slot_wait_ms, expected_slot_wait_ms) = match range.from {
        0 => (
            slot_wait_ms(model, others),
            slot_wait_ms(model, others + unseen),
        ),
        _ => (0.0, 0.0),
    };
    let crowding_ms = fill_level.min(1.0).powi(4) * pass_ms;
    Some(EngineCost {
        engine,
        range,
        hop_ms: (HOP_MS
            + 0.5 * pass_ms
            + crowding_ms
            + PREFILL_WEIGHT * (read_ms + wait_ms)
            + expected_slot_wait_ms
            + if avoided { FULL_ENGINE_MS } else { 0.0 })
            * (1.0 + COST_SPREAD * draw),
        layer_ms: stride * step_ms / layers,
        first_event_ms: pass_ms + read_ms + wait_ms + slot_wait_ms,
        full,
    })
}

/// Returns the time for which one more request waits for a slot of the first engine of its
/// path, which has `requests` already, in milliseconds.
fn slot_wait_ms(model: &EngineModel, requests: f64) -> f64 {
    let slots = f64::from(model.slots);
    let ends_needed = (requests + 1.0 - slots).max(0.0);
    ends_needed / slots * model.usual_response_ms()
}

/// Finds the cheapest path through the layers of `span`. The nodes are the boundaries of
/// the engines' ranges.
fn cheapest<D>(
    engines: &[&TargetState],
    query: PathQuery<'_>,
    span: LayerRange,
    now: Instant,
    draw: &mut D,
) -> Option<EnginePath>
where
    D: FnMut() -> f64,
{
    let costs = engines.iter().enumerate();
    let costs = costs.filter_map(|(engine, state)| engine_cost(engine, state, query, now, draw()));
    let costs = pareto_costs(costs.collect());
    let ranges = costs.iter().map(|cost| cost.range);
    let mut boundaries = ranges
        .flat_map(|range| [range.from, range.to])
        .collect::<Vec<_>>();
    boundaries.extend([span.from, span.to]);
    boundaries.retain(|bound| (span.from..=span.to).contains(bound));
    boundaries.sort_unstable();
    boundaries.dedup();
    // Cheapest path to each boundary: cost, previous boundary, index of the engine's
    // cost.
    let mut cheapest_to = vec![(f64::INFINITY, 0_usize, usize::MAX); boundaries.len()];
    cheapest_to[0].0 = 0.0;
    for here in 0..boundaries.len() {
        let so_far = cheapest_to[here].0;
        if !so_far.is_finite() {
            continue;
        }
        for (index, cost) in costs.iter().enumerate() {
            if !cost.range.contains(boundaries[here]) {
                continue;
            }
            for there in here + 1..boundaries.len() {
                if boundaries[there] > cost.range.to {
                    break;
                }
                let width = f64::from(boundaries[there] - boundaries[here]);
                let total = so_far + cost.hop_ms + width * cost.layer_ms;
                if total < cheapest_to[there].0 {
                    cheapest_to[there] = (total, here, index);
                }
            }
        }
    }
    let mut there = boundaries.len() - 1;
    let cost_ms = cheapest_to[there].0;
    if !cost_ms.is_finite() {
        return None;
    }
    let mut hops = Vec::new();
    while there > 0 {
        let (_, here, index) = cheapest_to[there];
        hops.push((
            index,
            LayerRange {
                from: boundaries[here],
                to: boundaries[there],
            },
        ));
        there = here;
    }
    hops.reverse();
    let hops = merge_repeated(hops);
    let full = hops.iter().any(|(index, _)| costs[*index].full);
    let first_event_ms = hops.iter().map(|(index, _)| costs[*index].first_event_ms);
    let first_event_ms = first_event_ms.sum();
    let hops = hops.into_iter().map(|(index, layers)| {
        let entry = &engines[costs[index].engine].entry;
        PathHop {
            target: entry.id.clone(),
            address: entry.address,
            layers,
        }
    });
    Some(EnginePath {
        hops: hops.collect(),
        cost_ms,
        first_event_ms,
        full,
    })
}

/// Keeps the costs of the engines that no other engine with the same layers undercuts,
/// whichever of its layers a path uses.
///
/// In a zone of hundreds of engines many hold the same layers; the time of a choice then
/// grows with the number of distinct ranges instead of the number of engines.
fn pareto_costs(mut costs: Vec<EngineCost>) -> Vec<EngineCost> {
    costs.sort_by(|left, right| {
        let range = left.range.cmp(&right.range);
        let hop = left.hop_ms.total_cmp(&right.hop_ms);
        let layer = left.layer_ms.total_cmp(&right.layer_ms);
        range.then(hop).then(layer)
    });
    let mut least: Option<EngineCost> = None;
    costs.retain(|cost| {
        let same_range = least.filter(|least| least.range == cost.range);
        let is_cheaper = same_range.is_none_or(|least| cost.layer_ms < least.layer_ms);
        if is_cheaper {
            least = Some(*cost);
        }
        is_cheaper
    });
    costs
}

/// Merges the hops of an engine that appears twice: an engine may be on a path only once,
/// and it holds all layers between its hops.
fn merge_repeated(hops: Vec<(usize, LayerRange)>) -> Vec<(usize, LayerRange)> {
    let mut joined: Vec<(usize, LayerRange)> = Vec::with_capacity(hops.len());
    for (engine, layers) in hops {
        match joined.iter().position(|(earlier, _)| *earlier == engine) {
            Some(first) => {
                joined.truncate(first + 1);
                joined[first].1.to = layers.to;
            }
            None => joined.push((engine, layers)),
        }
    }
    joined
}
