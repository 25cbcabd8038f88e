//! Orders the zone's engines to hold what is declared.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;

use super::core::DaemonCore;
use super::leases::orders_lease;
use crate::ids::{LogOffset, TargetId};
use crate::journal::{JournalEvent, JournalSubject};
use crate::reconcile::{
    DesiredState, OrderingLease, ReconcileDecision, ReconcileLimits, ReconcileTable, desired_states,
};
use crate::resources::{FencingSupport, ResourceKey, ResourceKind, TargetKind};
use crate::target::wire::StateOrder;

/// Time between two rounds of decisions.
const RECONCILE_TICK: Duration = Duration::from_millis(250);

/// Reconciliation of one zone's engines by this host.
struct ZoneReconciler {
    core: Arc<DaemonCore>,
    table: ReconcileTable,
    limits: ReconcileLimits,
    /// Applied offset of the declarations that the desired states were computed from.
    desired_as_of: Option<LogOffset>,
    lease: Option<OrderingLease>,
}

/// Observes and orders targets while this host holds the zone's lease, until the daemon
/// ends.
pub(super) async fn run_reconciliation(core: Arc<DaemonCore>) {
    let limits = ReconcileLimits {
        // The default deadline is the longest that a run without its own deadline can
        // have.
        retain_for: core.options.timing.default_deadline,
        ..ReconcileLimits::default()
    };
    let mut reconciler = ZoneReconciler {
        core,
        table: ReconcileTable::new(limits),
        limits,
        desired_as_of: None,
        lease: None,
    };
    let mut ticks = tokio::time::interval(RECONCILE_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        reconciler.run_round().await;
    }
}

impl ZoneReconciler {
    async fn run_round(&mut self) {
        self.refresh_lease();
        // Runs without the lease too, so that this host knows how long a range has been
        // undeclared when it acquires the lease.
        self.refresh_desired();
        // Only the lease holder observes, so that targets need not respond to every host.
        if self.lease.is_none() || self.core.is_draining() {
            return;
        }
        let mut observed = Vec::new();
        for decision in self.table.decide(self.lease, Instant::now()) {
            match decision {
                ReconcileDecision::Observe { target } => observed.push(target),
                ReconcileDecision::Order { target, order } => self.order(&target, &order).await,
                ReconcileDecision::Withhold { target, reason } => {
                    log::debug!("order to target {target} withheld: {reason:?}");
                }
            }
        }
        self.observe_all(observed).await;
    }

    fn refresh_lease(&mut self) {
        let now = Instant::now();
        let held_since = self.lease;
        self.lease = self.may_order(now).map(|fencing| OrderingLease {
            fencing,
            held_since: match held_since {
                Some(lease) if lease.fencing == fencing => lease.held_since,
                _ => now,
            },
            held_until: now + self.limits.order_deadline * 2,
        });
    }

    /// Returns the fencing number if an order sent at `now` ends before the lease
    /// expires.
    fn may_order(&self, now: Instant) -> Option<LogOffset> {
        let name = orders_lease(self.core.zone());
        let lease_state = self.core.tables.leases.lock();
        lease_state.may_act(&name, now, self.limits.order_deadline)
    }

    fn refresh_desired(&mut self) {
        let declarations = self.core.tables.declarations.read();
        let applied = declarations.applied();
        if self.desired_as_of == Some(applied) {
            return;
        }
        let engines: BTreeMap<TargetId, FencingSupport> = declarations
            .targets()
            .filter(|entry| entry.spec.kind == TargetKind::Engine)
            .map(|entry| (entry.name.clone(), entry.spec.fencing))
            .collect();
        let pipelines = declarations
            .list(ResourceKind::Pipeline)
            .filter_map(|entry| declarations.pipeline(entry.name));
        let states: BTreeMap<TargetId, DesiredState> =
            desired_states(&engines, pipelines, |model| declarations.model(model));
        let is_own = |target: &TargetId| {
            let spec = declarations.target(target);
            spec.is_some_and(|spec| spec.zone == *self.core.zone())
        };
        let (own, elsewhere) = states.into_iter().partition(|(target, _)| is_own(target));
        self.desired_as_of = Some(applied);
        self.table.set_desired(own, elsewhere, Instant::now());
    }

    /// Requests all states concurrently: in sequence, a single frozen target would make
    /// the states of the others too old to act on.
    async fn observe_all(&mut self, targets: Vec<TargetId>) {
        let core = &self.core;
        let requested_at = Instant::now();
        let requests = targets.into_iter().map(|target| async move {
            let state = match core.target_address(&target) {
                Some(address) => Some(core.targets.state(address).await),
                None => None,
            };
            (target, state)
        });
        for (target, state) in join_all(requests).await {
            match state {
                Some(Ok(state)) => self.table.observe(&target, state, requested_at),
                Some(Err(_)) => self.table.record_failure(&target, Instant::now()),
                None => {}
            }
        }
    }

    async fn order(&mut self, target: &TargetId, order: &StateOrder) {
        let Some(address) = self.core.target_address(target) else {
            return;
        };
        // The host may have been frozen since the decision. An order sent under an
        // expired lease would race the next holder's, and a target without fencing would
        // execute whichever arrives last.
        let order_lock = self.core.lock_orders().await;
        if self.may_order(Instant::now()) != Some(order.fencing) {
            return;
        }
        log::info!(
            "ordering target {target} to hold {} ranges",
            order.loaded.len()
        );
        let subject =
            JournalSubject::Resource(ResourceKey::new(ResourceKind::Target, target.clone()));
        let event = JournalEvent::OrderSent {
            target: target.clone(),
            fencing: order.fencing,
        };
        self.core.record_event_about(subject, event);
        let sent_at = Instant::now();
        self.table.record_order(target, order, sent_at);
        match self.core.targets.order_state(address, order).await {
            Ok(state) => self.table.observe(target, state, sent_at),
            Err(error) => {
                log::warn!("order to target {target} failed: {error}");
                self.table.record_failure(target, Instant::now());
            }
        }
        drop(order_lock);
    }
}
