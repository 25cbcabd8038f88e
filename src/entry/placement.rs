//! Keeps the layers on the engines as planned.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::collections::FastMap;
use crate::entry::peer_exchange::PeerState;
use crate::fleet::{FleetTable, LayerRange};
use crate::forward::{ServingTables, call_target, fetch_report};
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::ingress::{EngineModel, IngressConfiguration, ServiceSpec};
use crate::placement::{
    EngineView, PlanReason, PlannedRange, REPLAN_DELAY, has_uncovered_layers, plan_zone,
};
use crate::platform::target_record::platform_id;
use crate::platform::{names, order};

/// Time after its start before a host plans its own zone: until then it may not know the
/// hosts that rank before it, and after a start of all 195 hosts each would plan every
/// zone. Engines keep their layers meanwhile.
const START_DELAY: Duration = Duration::from_secs(2);
/// Time after its start before a host plans a zone in which it knows no host.
const OTHER_ZONE_START_DELAY: Duration = Duration::from_secs(6);
/// Interval between two checks of the plan.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Heartbeats without a new engine after which all engines are considered known; each
/// writes a heartbeat every 1.2 s.
const STABLE_HEARTBEATS: f64 = 1.3;
/// Heartbeats after which the first plan is made in any case.
const MAX_WAIT_HEARTBEATS: f64 = 3.5;
/// Time after which an order without visible effect is issued again.
const ORDER_VALIDITY: Duration = Duration::from_secs(8);
/// Timeout for an engine to accept an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// An order that was issued by this or another host.
#[derive(Debug, Clone, Copy)]
struct IssuedOrder {
    layers: LayerRange,
    at: Instant,
}

/// The engines of a zone as last planned.
#[derive(Debug, PartialEq)]
struct ZoneSnapshot {
    engines: Vec<EngineView>,
    /// Whether layers have been uncovered for so long that the zone may be replanned from
    /// scratch.
    overdue: bool,
}

/// A zone to be planned.
#[derive(Debug)]
struct PlanningTask {
    service: Arc<ServiceSpec>,
    zone: ZoneId,
    snapshot: ZoneSnapshot,
    uncovered_for: Duration,
}

struct PlacementWorker {
    started: Instant,
    tables: Arc<ServingTables>,
    peer_state: Arc<PeerState>,
    issued: FastMap<TargetId, IssuedOrder>,
    /// Snapshots of zones that needed no change at the last check.
    unchanged_zones: FastMap<ZoneId, ZoneSnapshot>,
    /// Since when zones have had uncovered layers.
    uncovered_since: FastMap<ZoneId, Instant>,
    known: usize,
    first_seen: Option<Instant>,
    changed_at: Instant,
    heartbeat: Duration,
}

/// Orders engines to hold the planned layers; runs forever.
pub(super) async fn run_placement(
    tables: Arc<ServingTables>,
    peer_state: Arc<PeerState>,
    heartbeat: Duration,
) {
    let mut worker = PlacementWorker {
        started: Instant::now(),
        tables,
        peer_state,
        issued: FastMap::default(),
        unchanged_zones: FastMap::default(),
        uncovered_since: FastMap::default(),
        known: 0,
        first_seen: None,
        changed_at: Instant::now(),
        heartbeat,
    };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        worker.check(Instant::now()).await;
    }
}

impl PlacementWorker {
    async fn check(&mut self, now: Instant) {
        let configuration = self.tables.configuration.load_full();
        let Some(configuration) = configuration else {
            return;
        };
        let (known, placed) = {
            let fleet = self.tables.fleet.lock();
            let engines = fleet.targets().filter(|state| state.entry.kind.is_some());
            let layers = engines.map(|state| state.entry.layers).collect::<Vec<_>>();
            (layers.len(), layers.iter().any(Option::is_some))
        };
        if known != self.known {
            self.known = known;
            self.changed_at = now;
            self.first_seen.get_or_insert(now);
        }
        if !placed && !self.is_fleet_stable(now) {
            return;
        }
        self.issued
            .retain(|_, order| now < order.at + ORDER_VALIDITY);
        let tasks = {
            let tables = self.tables.clone();
            let fleet = tables.fleet.lock();
            self.due_tasks(&configuration, &fleet, now)
        };
        for task in tasks {
            let planned = self.plan(task).await;
            self.issue_orders(planned, Instant::now()).await;
        }
    }

    /// Returns whether the first plan can be made. While no engine holds layers, a plan
    /// from a third of the engines would have to be redone, so it waits until all are
    /// known.
    fn is_fleet_stable(&self, now: Instant) -> bool {
        let quiet = now >= self.changed_at + self.heartbeat.mul_f64(STABLE_HEARTBEATS);
        let first = self.first_seen.unwrap_or(now);
        quiet || now >= first + self.heartbeat.mul_f64(MAX_WAIT_HEARTBEATS)
    }

    /// Returns the zones that this host has to plan now.
    fn due_tasks(
        &mut self,
        configuration: &IngressConfiguration,
        fleet: &FleetTable,
        now: Instant,
    ) -> Vec<PlanningTask> {
        let mut tasks = Vec::new();
        for service in configuration.services.values() {
            let Some(model) = &service.engine else {
                continue;
            };
            for (zone, engines) in self.engine_views(service, model, fleet) {
                if self.knows_hosts(&zone, now) && self.peer_state.plans_zone(&zone, now) {
                    tasks.extend(self.task(service, model, zone, engines, now));
                }
            }
        }
        tasks
    }

    /// Returns whether this host has had enough time to discover the hosts of a zone.
    fn knows_hosts(&self, zone: &ZoneId, now: Instant) -> bool {
        let start_delay = match *zone == self.tables.zone {
            true => START_DELAY,
            false => OTHER_ZONE_START_DELAY,
        };
        now >= self.started + start_delay
    }

    /// Returns the engines of a service by zone, as the planner sees them.
    fn engine_views(
        &self,
        service: &ServiceSpec,
        model: &EngineModel,
        fleet: &FleetTable,
    ) -> BTreeMap<ZoneId, Vec<EngineView>> {
        let mut zones = BTreeMap::<ZoneId, Vec<EngineView>>::new();
        let members = fleet.members(&service.name).into_iter();
        // Ejected engines are included: each host ejects engines by its own observations,
        // so that plans without them would differ between hosts and their orders would undo
        // each other.
        let members = members.flat_map(|members| members.values());
        for state in members.filter(|state| !state.is_leaving()) {
            let kind = state.entry.kind.as_deref();
            let Some(kind) = kind.and_then(|kind| model.kinds.get(kind)) else {
                continue;
            };
            let ordered = self.issued.get(&state.entry.id).map(|order| order.layers);
            let engine = EngineView {
                id: state.entry.id.clone(),
                kind: *kind,
                layers: ordered.or(state.entry.layers_of(model.layers)),
            };
            zones
                .entry(state.entry.zone.clone())
                .or_default()
                .push(engine);
        }
        zones
    }

    /// Returns the task of planning a zone, or `None` if the zone has not changed, as a
    /// plan takes milliseconds of the CPU quota.
    fn task(
        &mut self,
        service: &Arc<ServiceSpec>,
        model: &EngineModel,
        zone: ZoneId,
        engines: Vec<EngineView>,
        now: Instant,
    ) -> Option<PlanningTask> {
        let uncovered_for = self.uncovered_for(model, &zone, &engines, now);
        let overdue = uncovered_for >= REPLAN_DELAY;
        let snapshot = ZoneSnapshot { engines, overdue };
        (self.unchanged_zones.get(&zone) != Some(&snapshot)).then(|| PlanningTask {
            service: service.clone(),
            zone,
            snapshot,
            uncovered_for,
        })
    }

    /// Plans a zone on a blocking thread.
    ///
    /// The first plan of a zone of 38 engines takes 0.2 s of a whole core, and a host has
    /// an eighth of one. On the thread that carries requests it would pause all streams
    /// of the host for that long, while engines are being lost.
    async fn plan(&mut self, task: PlanningTask) -> Vec<PlannedRange> {
        let (service, engines) = (task.service.clone(), task.snapshot.engines.clone());
        let reason = PlanReason::of(&engines, task.uncovered_for);
        let started = Instant::now();
        let planned = tokio::task::spawn_blocking(move || {
            let model = service.engine.as_ref();
            model.map_or_else(Vec::new, |model| {
                plan_zone(model, &engines, task.uncovered_for)
            })
        });
        let planned = planned.await.unwrap_or_else(|error| {
            log::error!(zone:% = task.zone, error:% = error; "planning task failed");
            Vec::new()
        });
        log::info!(
            zone:% = task.zone,
            engines = task.snapshot.engines.len(),
            reason = reason.as_str(),
            holed_ms = task.uncovered_for.as_millis() as u64,
            changes = planned.len(),
            took_ms = started.elapsed().as_millis() as u64;
            "zone planned"
        );
        match planned.is_empty() {
            true => {
                self.unchanged_zones.insert(task.zone, task.snapshot);
                planned
            }
            false => self.still_applicable(&task.snapshot.engines, planned),
        }
    }

    /// Returns the changes of a plan whose engines still hold what the plan assumed;
    /// another host may have issued orders meanwhile.
    fn still_applicable(
        &self,
        engines: &[EngineView],
        planned: Vec<PlannedRange>,
    ) -> Vec<PlannedRange> {
        let fleet = self.tables.fleet.lock();
        let is_unchanged = |range: &PlannedRange| {
            let seen = engines.iter().find(|engine| engine.id == range.id);
            let now = fleet.get(&range.id).map(|state| state.entry.layers);
            let ordered = self.issued.get(&range.id).map(|order| order.layers);
            now.zip(seen)
                .is_some_and(|(now, seen)| ordered.or(now) == seen.layers)
        };
        planned.into_iter().filter(is_unchanged).collect()
    }

    /// Returns for how long a zone has had uncovered layers.
    fn uncovered_for(
        &mut self,
        model: &EngineModel,
        zone: &ZoneId,
        engines: &[EngineView],
        now: Instant,
    ) -> Duration {
        if !has_uncovered_layers(model, engines) {
            self.uncovered_since.remove(zone);
            return Duration::ZERO;
        }
        let since = *self.uncovered_since.entry(zone.clone()).or_insert(now);
        now.saturating_duration_since(since)
    }

    async fn issue_orders(&mut self, planned: Vec<PlannedRange>, now: Instant) {
        let orders = planned.into_iter().map(|range| {
            let tables = self.tables.clone();
            async move {
                let accepted = issue_order(&tables, &range.id, range.layers, now).await;
                (range.id, accepted)
            }
        });
        for (id, accepted) in futures::future::join_all(orders).await {
            if let Some(layers) = accepted {
                self.issued.insert(id, IssuedOrder { layers, at: now });
            }
        }
    }
}

/// Orders an engine to hold `layers`, unless it already holds them or is executing an
/// order. Returns the layers that the engine is assumed to hold from now on.
async fn issue_order(
    tables: &Arc<ServingTables>,
    id: &TargetId,
    layers: LayerRange,
    now: Instant,
) -> Option<LayerRange> {
    let address = tables.fleet.lock().get(id)?.entry.address;
    let report = fetch_report(tables, id, address, now).await.ok()?;
    if report.layers == Some(layers) {
        tables.fleet.lock().observe_layers(id, Some(layers));
        return Some(layers);
    }
    if report.order_busy {
        // Another host was first; the effect of its order shows in the next heartbeat.
        return Some(layers);
    }
    let body = order::place_body(layers, report.order_sequence);
    let request = Request::post(names::ORDER_PATH)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(names::TARGET_INSTANCE, platform_id(id))
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let response = call_target(tables, id, address, request, ORDER_TIMEOUT).await;
    if let Ok(reply) = &response {
        tables.observe_order_reply(id, reply);
    }
    let status = response.as_ref().map(|reply| reply.status);
    log::info!(
        target_id:% = id,
        from = layers.from,
        to = layers.to,
        held:? = report.layers,
        expected = report.order_sequence,
        answer:? = status.map(|status| status.as_u16());
        "order given"
    );
    tables.metrics.order_sent(match status {
        Ok(StatusCode::OK | StatusCode::ACCEPTED) => "accepted",
        Ok(_) => "refused",
        Err(_) => "unanswered",
    });
    match status {
        Ok(StatusCode::OK | StatusCode::ACCEPTED) => Some(layers),
        // The order may have been accepted, or may still be executed.
        Err(_) => Some(layers),
        Ok(_) => None,
    }
}
