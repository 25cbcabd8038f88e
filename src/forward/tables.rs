//! State that the data path shares with the tasks that keep it up to date.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::caller_connections::{CallerConnection, CallerConnections};
use super::closed::PortCell;
use super::gateway_link::{GatewayPeers, WitnessCell};
use super::liveness::LivenessTable;
use super::pending_reads::PendingReads;
use super::permits::PermitSource;
use super::probe::CallFailure;
use super::retry_budgets::RetryBudgets;
use crate::admission::start::StartTable;
use crate::admission::{ConnectionGate, OverloadGauge, ZoneLoad};
use crate::balance::{BalanceEvent, BalanceTable};
use crate::buffer::{BufferBudget, BufferPlan};
use crate::capacity::{CapacityView, DemandTable};
use crate::collections::FastMap;
use crate::drain::DrainWindow;
use crate::fleet::{EndedTarget, EngineReport, FleetTable, TargetLoad, TargetState, target_key};
use crate::gateway::GatewayTable;
use crate::ids::TargetId;
use crate::ids::{HostId, ServiceId, ZoneId};
use crate::ingress::IngressConfiguration;
use crate::metrics::ServingMetrics;
use crate::permits::{LimitTable, PermitIssuer, PermitPool};
use crate::poison::PoisonTable;
use crate::reachability::{ReachabilityTable, TargetWay};
use crate::retry::WindowSettings;
use crate::silence::SilenceTable;

/// A report and the time at which it was received. The lock admits one request at a time.
pub(super) type ReportCell =
    Arc<tokio::sync::Mutex<Option<(Instant, Result<Arc<EngineReport>, CallFailure>)>>>;

/// Smallest half of a read buffer, in bytes.
const MIN_READ_BUFFER: usize = 8 * 1024;

/// Shared state of the data path. No lock is held across an await, and no two at once.
pub struct ServingTables {
    /// The name of this host.
    pub host: HostId,
    /// The availability zone of this host.
    pub zone: ZoneId,
    /// Counters and histograms.
    pub metrics: ServingMetrics,
    /// The configuration in effect, once one is known.
    pub configuration: ArcSwapOption<IngressConfiguration>,
    /// Capacity and demand of all services, as last computed.
    pub capacity: ArcSwap<CapacityView>,
    /// Demand of the callers of this host, and of other hosts as they report it.
    pub demand: Mutex<DemandTable>,
    /// The shares of the zones' requests that go to other zones.
    pub balance: ArcSwap<BalanceTable>,
    /// The targets.
    pub fleet: Mutex<FleetTable>,
    /// The times of the shutdown, once it has begun.
    pub(super) drain: watch::Sender<Option<DrainWindow>>,
    /// Requests in flight.
    pub in_flight: AtomicUsize,
    /// Number of requests completed since the start.
    pub completed: AtomicUsize,
    overload: Mutex<OverloadGauge>,
    /// Ranks of services, and the requests that wait to start.
    pub(super) start: Mutex<StartTable>,
    gate: Mutex<ConnectionGate>,
    /// What this host may use for bytes of others.
    pub(super) plan: BufferPlan,
    /// Memory for bodies of requests, and for those of responses that are passed on whole.
    pub(super) request_budget: BufferBudget,
    pub(super) response_budget: BufferBudget,
    connections: CallerConnections,
    /// Number of other live hosts of the zone.
    neighbours: AtomicUsize,
    pub(super) retries: RetryBudgets,
    reports: Mutex<FastMap<TargetId, ReportCell>>,
    ports: Mutex<FastMap<TargetId, PortCell>>,
    pending_reads: Mutex<FastMap<TargetId, PendingReads>>,
    pub(super) liveness: LivenessTable,
    /// The targets on which this host runs attempts, and which of them do not respond.
    pub(super) silences: Mutex<SilenceTable>,
    /// Whether targets accept connections of this host.
    pub(super) reachability: Mutex<ReachabilityTable>,
    /// The gateways that this host has used.
    pub(super) gateways: Mutex<GatewayTable>,
    /// The hosts that may serve as gateways; unset on a host that uses none.
    pub(super) gateway_peers: OnceLock<GatewayPeers>,
    /// What other hosts last said about targets.
    witnesses: Mutex<FastMap<TargetId, WitnessCell>>,
    /// The limits that targets have named.
    pub limits: Mutex<LimitTable>,
    /// Permits that this host holds, and those that it issues.
    pub(super) permits: Mutex<PermitPool>,
    pub(super) issuer: Mutex<PermitIssuer>,
    pub(super) permit_source: OnceLock<PermitSource>,
    /// Requests under which targets ended.
    pub poison: Mutex<PoisonTable>,
    /// Notified when a request is found to be poison.
    pub poison_updates: Notify,
}

impl ServingTables {
    /// Creates empty tables for a host of an availability zone, with the usual memory.
    pub fn new(host: HostId, zone: ZoneId, budget_settings: WindowSettings) -> Self {
        Self::with_plan(host, zone, budget_settings, BufferPlan::default())
    }

    /// Creates empty tables for a host that uses its memory as `plan` says.
    pub fn with_plan(
        host: HostId,
        zone: ZoneId,
        budget_settings: WindowSettings,
        plan: BufferPlan,
    ) -> Self {
        Self {
            plan,
            request_budget: BufferBudget::new(plan.request_bytes),
            response_budget: BufferBudget::new(plan.response_bytes),
            connections: CallerConnections::default(),
            host,
            zone,
            metrics: ServingMetrics::default(),
            configuration: ArcSwapOption::empty(),
            capacity: ArcSwap::default(),
            demand: Mutex::default(),
            balance: ArcSwap::default(),
            fleet: Mutex::default(),
            drain: watch::Sender::default(),
            in_flight: AtomicUsize::new(0),
            completed: AtomicUsize::new(0),
            overload: Mutex::default(),
            start: Mutex::default(),
            gate: Mutex::default(),
            neighbours: AtomicUsize::new(0),
            retries: RetryBudgets::new(budget_settings),
            reports: Mutex::default(),
            ports: Mutex::default(),
            pending_reads: Mutex::default(),
            liveness: LivenessTable::default(),
            silences: Mutex::default(),
            reachability: Mutex::default(),
            gateways: Mutex::default(),
            gateway_peers: OnceLock::new(),
            witnesses: Mutex::default(),
            limits: Mutex::default(),
            permits: Mutex::default(),
            issuer: Mutex::default(),
            permit_source: OnceLock::new(),
            poison: Mutex::default(),
            poison_updates: Notify::new(),
        }
    }

    /// Returns whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.drain.borrow().is_some()
    }

    /// Counts the arrival of a request, whether or not it is refused later.
    pub fn count_arrival(
        &self,
        service: &ServiceId,
        priority: u8,
        organisation: Option<&str>,
        now: Instant,
    ) {
        let mut demand = self.demand.lock();
        demand
            .own
            .count_arrival(service, priority, organisation, now);
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn count_capacity_refusal(&self, service: &ServiceId, priority: u8, now: Instant) {
        let mut demand = self.demand.lock();
        demand.own.count_capacity_refusal(service, priority, now);
    }

    /// Sets the number of requests that wait at this host to be started.
    pub fn set_waiting(&self, service: &ServiceId, priority: u8, waiting: u32, now: Instant) {
        let mut demand = self.demand.lock();
        demand.own.set_waiting(service, priority, waiting, now);
    }

    /// Reports to other hosts that a target accepts no connections or was named at fault.
    /// A host that has lost its own links knows nothing about the target.
    pub(super) fn report_ended(&self, target: &TargetId, now: Instant) {
        if self.is_isolated() || self.way(target) == TargetWay::Gateway {
            return;
        }
        let is_new = self.fleet.lock().report_ended(target, now);
        if is_new {
            self.metrics.end_reported("own");
            log::info!(target_id:% = target; "target reported as ended");
        }
    }

    /// Records which targets another host reports as ended.
    pub fn observe_ended(&self, reports: &[EndedTarget], source: &HostId, now: Instant) {
        if reports.is_empty() {
            return;
        }
        let avoided = self.fleet.lock().observe_ended(reports, now);
        for target in avoided {
            self.metrics.end_reported("received");
            log::info!(target_id:% = target, source:% = source; "target ended at other hosts");
        }
    }

    /// Records that a request found a target with room.
    pub(super) fn count_start(&self, now: Instant) {
        self.overload.lock().count_start(now);
    }

    /// Records that a request found no room, and returns when its caller should come
    /// back.
    pub(super) fn count_refusal(&self, now: Instant) -> Duration {
        self.overload.lock().count_refusal(now, rand::random())
    }

    /// Records that a request found all targets paused, and returns when its caller should
    /// come back. `pause` is the time until the first target is available again.
    pub(super) fn count_paused_refusal(&self, pause: Duration, now: Instant) -> Duration {
        let mut overload = self.overload.lock();
        overload.count_paused_refusal(pause, now, rand::random())
    }

    /// Records by how much a task of this host ran late, and the number of other live hosts of
    /// the zone.
    pub fn observe_lag(&self, lag: Duration, neighbours: usize) {
        self.neighbours.store(neighbours, Ordering::Relaxed);
        self.gate.lock().observe_lag(lag);
    }

    /// Returns whether a new connection of a caller is accepted.
    pub(super) fn admits_connection(&self) -> bool {
        let gate = self.gate.lock().clone();
        gate.admits(|| self.zone_load())
    }

    /// Returns the read buffer of a caller's connection, in bytes, which holds its largest head.
    pub(super) fn read_buffer_bytes(&self) -> usize {
        let configuration = self.configuration.load();
        let limits = configuration.as_ref().map(|known| known.limits);
        limits.unwrap_or_default().header_bytes.max(MIN_READ_BUFFER) * 2
    }

    /// Adds a connection of a caller, unless there is no place for another one.
    pub(super) fn open_connection(&self, now: Instant) -> Option<CallerConnection> {
        let limits = self.plan.caller_connections(self.read_buffer_bytes());
        self.connections.open(limits, now)
    }

    /// Returns the metrics as text.
    pub fn encode_metrics(&self) -> String {
        self.metrics.set_buffers(
            self.request_budget.charged(),
            self.response_budget.charged(),
            self.connections.len(),
        );
        self.metrics.encode()
    }

    /// Counts a connection that is closed before a request is read.
    pub(super) fn count_closed_unread(&self) {
        let load = self.zone_load();
        self.metrics.connection_closed_unread();
        log::info!(own = load.own, others = load.others; "connection closed unread");
    }

    fn zone_load(&self) -> ZoneLoad {
        let fleet = self.fleet.lock();
        let sum = |of: &dyn Fn(&TargetState) -> u32| fleet.targets().map(of).sum();
        ZoneLoad {
            own: sum(&|state| state.own.requests),
            others: sum(&|state| state.near.requests),
            hosts: self.neighbours.load(Ordering::Relaxed),
        }
    }

    /// Moves the shares of the zones' requests one step towards those that the capacity
    /// calls for, and sets the metrics. Returns what to report; only one task may call it.
    pub fn update_balance(&self, now: Instant) -> Vec<BalanceEvent> {
        let mut balance = BalanceTable::clone(&self.balance.load());
        let events = balance.update(&self.capacity.load(), &self.zone, now);
        let flows = balance.services();
        let flows =
            flows.flat_map(|(service, flows)| flows.iter().map(move |flow| (service, flow)));
        let sent = flows.filter(|(_, flow)| flow.from == self.zone);
        let sent = sent.map(|(service, flow)| (&**service, &*flow.to, flow.share));
        self.metrics.set_zone_shares(sent);
        self.balance.store(Arc::new(balance));
        events
    }

    pub(super) fn report_cell(&self, target: &TargetId) -> ReportCell {
        self.reports
            .lock()
            .entry(target.clone())
            .or_default()
            .clone()
    }

    pub(super) fn port_cell(&self, target: &TargetId) -> PortCell {
        let mut ports = self.ports.lock();
        ports.entry(target.clone()).or_default().clone()
    }

    pub(super) fn pending_reads(&self, target: &TargetId) -> PendingReads {
        let mut pending = self.pending_reads.lock();
        pending.entry(target.clone()).or_default().clone()
    }

    pub(super) fn witness_cell(&self, target: &TargetId) -> WitnessCell {
        let mut witnesses = self.witnesses.lock();
        witnesses.entry(target.clone()).or_default().clone()
    }

    /// Notifies all requests that pass a target that it has ended.
    pub fn notify_lost(&self, target: &str) {
        self.liveness.notify_lost(target);
    }

    /// Removes the state of a target without an entry in the log. Its limit stays: the entry
    /// may have expired while the target goes on, and only the target ends its limit.
    pub fn forget_target(&self, target: &str) {
        self.reports.lock().remove(target);
        self.ports.lock().remove(target);
        self.pending_reads.lock().retain(|_, reads| reads.is_used());
        self.witnesses.lock().remove(target);
        self.reachability.lock().forget(target);
    }

    /// Removes the state of a start of a target that has ended.
    pub fn forget_start(&self, target: &str) {
        self.forget_target(target);
        let key = target_key(target);
        self.limits.lock().forget(key);
        self.permits.lock().forget(key);
    }
}

impl fmt::Debug for ServingTables {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("ServingTables");
        debug.field("zone", &self.zone).finish_non_exhaustive()
    }
}

/// Counts a request on its targets until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    tables: Arc<ServingTables>,
    loads: Vec<(TargetId, TargetLoad)>,
}

impl InFlightGuard {
    /// Counts a request on targets, with the load that it puts on each.
    pub fn open(tables: Arc<ServingTables>, loads: Vec<(TargetId, TargetLoad)>) -> Self {
        let mut fleet = tables.fleet.lock();
        for (target, load) in &loads {
            fleet.observe_start(target, *load);
        }
        drop(fleet);
        Self { tables, loads }
    }

    /// Records that the targets have processed the prompt, as the first event shows.
    pub fn observe_prefill(&mut self) {
        if self.loads.iter().all(|(_, load)| load.unread == 0.0) {
            return;
        }
        let mut fleet = self.tables.fleet.lock();
        for (target, load) in &mut self.loads {
            fleet.observe_prefill(target, std::mem::take(&mut load.unread));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut fleet = self.tables.fleet.lock();
        for (target, load) in &self.loads {
            fleet.observe_end(target, *load);
        }
    }
}
