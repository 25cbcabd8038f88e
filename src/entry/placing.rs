//! Keeps the engines' layers as planned.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::collections::FastMap;
use crate::entry::peering::PeerDesk;
use crate::fleet::{FleetTable, LayerRange};
use crate::forward::{ServingTables, call_target, fetch_report};
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::ingress::{EngineModel, IngressConfiguration, ServiceSpec};
use crate::placement::{EngineView, PlannedRange, REPLAN_DELAY, has_uncovered_layers, plan_zone};
use crate::platform::target_record::platform_id;
use crate::platform::{names, order};

/// How long a host that starts leaves its zone's engines alone: until then it
/// may not know the hosts that come before it, and after a start of all hosts
/// each of 195 planned every zone. Engines keep their layers meanwhile.
const START_PATIENCE: Duration = Duration::from_secs(2);
/// The same for the engines of a zone in which it knows no host.
const STRANGE_ZONE_PATIENCE: Duration = Duration::from_secs(6);
/// Pause between two looks at the plan.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// The engines count as seen once no new one has shown up for this long; each
/// writes a heartbeat every 1.2 s.
const SETTLE_HEARTBEATS: f64 = 1.3;
/// A first plan is not put off for longer than this many heartbeats.
const MOST_HEARTBEATS: f64 = 3.5;
/// After this time an order whose effect does not show is given again.
const ORDER_PATIENCE: Duration = Duration::from_secs(8);
/// How long an engine may take to accept an order.
const ORDER_LIMIT: Duration = Duration::from_secs(1);

/// An order that was given, by this host or by another.
#[derive(Debug, Clone, Copy)]
struct GivenOrder {
    layers: LayerRange,
    at: Instant,
}

/// A zone for which no order was due.
#[derive(Debug, PartialEq)]
struct SettledZone {
    engines: Vec<EngineView>,
    /// Whether it lacked layers for so long that it may be planned anew.
    overdue: bool,
}

/// A zone to be planned.
#[derive(Debug)]
struct PlanningTask {
    service: Arc<ServiceSpec>,
    zone: ZoneId,
    zone_view: SettledZone,
    holed_for: Duration,
}

struct PlacingWorker {
    started: Instant,
    tables: Arc<ServingTables>,
    desk: Arc<PeerDesk>,
    given: FastMap<TargetId, GivenOrder>,
    /// Views of zones that needed no change when last looked at.
    settled: FastMap<ZoneId, SettledZone>,
    /// Since when zones have lacked layers.
    holed_since: FastMap<ZoneId, Instant>,
    known: usize,
    first_seen: Option<Instant>,
    changed_at: Instant,
    heartbeat: Duration,
}

/// Orders engines to hold what is planned, for ever.
pub(super) async fn keep_placed(
    tables: Arc<ServingTables>,
    desk: Arc<PeerDesk>,
    heartbeat: Duration,
) {
    let mut worker = PlacingWorker {
        started: Instant::now(),
        tables,
        desk,
        given: FastMap::default(),
        settled: FastMap::default(),
        holed_since: FastMap::default(),
        known: 0,
        first_seen: None,
        changed_at: Instant::now(),
        heartbeat,
    };
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        worker.look(Instant::now()).await;
    }
}

impl PlacingWorker {
    async fn look(&mut self, now: Instant) {
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
        if !placed && !self.is_settled(now) {
            return;
        }
        self.given
            .retain(|_, order| now < order.at + ORDER_PATIENCE);
        let tasks = {
            let tables = self.tables.clone();
            let fleet = tables.fleet.lock();
            self.due_tasks(&configuration, &fleet, now)
        };
        for task in tasks {
            let planned = self.plan(task).await;
            self.give_orders(planned, Instant::now()).await;
        }
    }

    /// Nothing is held anywhere: a plan from a third of the engines would have
    /// to be made again, so it waits until all have shown up.
    fn is_settled(&self, now: Instant) -> bool {
        let quiet = now >= self.changed_at + self.heartbeat.mul_f64(SETTLE_HEARTBEATS);
        let first = self.first_seen.unwrap_or(now);
        quiet || now >= first + self.heartbeat.mul_f64(MOST_HEARTBEATS)
    }

    /// The zones that this host has to plan now.
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
                if self.knows_hosts(&zone, now) && self.desk.places_zone(&zone, now) {
                    tasks.extend(self.task(service, model, zone, engines, now));
                }
            }
        }
        tasks
    }

    /// Whether this host has had the time to find the hosts of a zone.
    fn knows_hosts(&self, zone: &ZoneId, now: Instant) -> bool {
        let patience = match *zone == self.tables.zone {
            true => START_PATIENCE,
            false => STRANGE_ZONE_PATIENCE,
        };
        now >= self.started + patience
    }

    /// The engines of a service by their zones, as the planner sees them.
    fn engine_views(
        &self,
        service: &ServiceSpec,
        model: &EngineModel,
        fleet: &FleetTable,
    ) -> FastMap<ZoneId, Vec<EngineView>> {
        let mut zones = FastMap::<ZoneId, Vec<EngineView>>::default();
        let members = fleet.members(&service.name).into_iter();
        // Hosts take engines out each by what it saw itself; a plan made from
        // that would differ from host to host, and their orders would undo each
        // other.
        let members = members.flat_map(|members| members.values());
        for state in members.filter(|state| !state.entry.draining) {
            let kind = state.entry.kind.as_deref();
            let Some(kind) = kind.and_then(|kind| model.kinds.get(kind)) else {
                continue;
            };
            let ordered = self.given.get(&state.entry.id).map(|order| order.layers);
            let engine = EngineView {
                id: state.entry.id.clone(),
                kind: *kind,
                layers: ordered.or(state.entry.layers),
            };
            zones
                .entry(state.entry.zone.clone())
                .or_default()
                .push(engine);
        }
        zones
    }

    /// A zone is planned anew only when something has changed: a plan takes
    /// milliseconds of the processor's share.
    fn task(
        &mut self,
        service: &Arc<ServiceSpec>,
        model: &EngineModel,
        zone: ZoneId,
        engines: Vec<EngineView>,
        now: Instant,
    ) -> Option<PlanningTask> {
        let holed_for = self.holed_for(model, &zone, &engines, now);
        let overdue = holed_for >= REPLAN_DELAY;
        let zone_view = SettledZone { engines, overdue };
        (self.settled.get(&zone) != Some(&zone_view)).then(|| PlanningTask {
            service: service.clone(),
            zone,
            zone_view,
            holed_for,
        })
    }

    /// Plans on a thread of its own.
    ///
    /// The first plan of a zone of 38 engines takes 0.2 s of a whole core, and a
    /// host has an eighth of one. On the thread that carries requests
    /// it would answer nobody for as long, in the middle of a loss; it shows as
    /// pauses of all streams of one host at once.
    async fn plan(&mut self, task: PlanningTask) -> Vec<PlannedRange> {
        let (service, engines) = (task.service.clone(), task.zone_view.engines.clone());
        let started = Instant::now();
        let planned = tokio::task::spawn_blocking(move || {
            let model = service.engine.as_ref();
            model.map_or_else(Vec::new, |model| plan_zone(model, &engines, task.holed_for))
        });
        let planned = planned.await.unwrap_or_else(|error| {
            log::error!(zone:% = task.zone, error:% = error; "planning ended");
            Vec::new()
        });
        log::info!(
            zone:% = task.zone,
            engines = task.zone_view.engines.len(),
            holed_ms = task.holed_for.as_millis() as u64,
            changes = planned.len(),
            took_ms = started.elapsed().as_millis() as u64;
            "zone planned"
        );
        match planned.is_empty() {
            true => {
                self.settled.insert(task.zone, task.zone_view);
                planned
            }
            false => self.unchanged(&task.zone_view.engines, planned),
        }
    }

    /// Those changes of a plan whose engines still hold what the plan was made
    /// for: another host may have ordered them meanwhile.
    fn unchanged(&self, engines: &[EngineView], planned: Vec<PlannedRange>) -> Vec<PlannedRange> {
        let fleet = self.tables.fleet.lock();
        let is_as_seen = |range: &PlannedRange| {
            let seen = engines.iter().find(|engine| engine.id == range.id);
            let now = fleet.get(&range.id).map(|state| state.entry.layers);
            let ordered = self.given.get(&range.id).map(|order| order.layers);
            now.zip(seen)
                .is_some_and(|(now, seen)| ordered.or(now) == seen.layers)
        };
        planned.into_iter().filter(is_as_seen).collect()
    }

    /// For how long a zone has lacked layers.
    fn holed_for(
        &mut self,
        model: &EngineModel,
        zone: &ZoneId,
        engines: &[EngineView],
        now: Instant,
    ) -> Duration {
        if !has_uncovered_layers(model, engines) {
            self.holed_since.remove(zone);
            return Duration::ZERO;
        }
        let since = *self.holed_since.entry(zone.clone()).or_insert(now);
        now.saturating_duration_since(since)
    }

    async fn give_orders(&mut self, planned: Vec<PlannedRange>, now: Instant) {
        let orders = planned.into_iter().map(|range| {
            let tables = self.tables.clone();
            async move {
                let taken = give_order(&tables, &range.id, range.layers, now).await;
                (range.id, taken)
            }
        });
        for (id, taken) in futures::future::join_all(orders).await {
            if let Some(layers) = taken {
                self.given.insert(id, GivenOrder { layers, at: now });
            }
        }
    }
}

/// Orders an engine to hold `layers`, unless it does or has an order already.
/// Gives the layers that the engine is taken to hold from now on.
async fn give_order(
    tables: &ServingTables,
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
        // Another host was first; its order shows in the next heartbeat.
        return Some(layers);
    }
    let body = order::place_body(layers, report.order_sequence);
    let request = Request::post(names::ORDER_PATH)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(names::TARGET_INSTANCE, platform_id(id))
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let answer = call_target(address, request, ORDER_LIMIT).await;
    log::info!(
        target_id:% = id,
        from = layers.from,
        to = layers.to,
        held:? = report.layers,
        expected = report.order_sequence,
        answer:? = answer.as_ref().map(|(status, _)| status.as_u16());
        "order given"
    );
    tables.metrics.order_sent(match answer {
        Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => "accepted",
        Ok(_) => "refused",
        Err(_) => "unanswered",
    });
    match answer {
        Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => Some(layers),
        // May have been accepted, or may be carried out later.
        Err(_) => Some(layers),
        Ok(_) => None,
    }
}
