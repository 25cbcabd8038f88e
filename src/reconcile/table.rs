//! The reconciler's table of desired states, observed states and open orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::round::ReconcileRound;
use super::{DesiredState, OrderingLease, ReconcileDecision, ReconcileLimits};
use crate::ids::TargetId;
use crate::target::wire::{LoadedRange, StateOrder, TargetState};

/// Last known state of one target.
#[derive(Debug, Clone)]
struct Observation {
    state: TargetState,
    seen_at: Instant,
}

/// An order whose effect has not been observed yet.
#[derive(Debug, Clone, Copy)]
struct OpenOrder {
    sent_at: Instant,
    /// Whether it makes the target load weights.
    loads: bool,
}

/// Desired and observed states of one availability zone's engines.
#[derive(Debug, Default)]
pub struct ReconcileTable {
    pub(super) limits: ReconcileLimits,
    pub(super) desired: BTreeMap<TargetId, DesiredState>,
    /// Engines of other zones: they receive no orders, but may hold the same ranges.
    pub(super) other_zones: BTreeMap<TargetId, DesiredState>,
    observed: BTreeMap<TargetId, Observation>,
    open_orders: BTreeMap<TargetId, OpenOrder>,
    failed_at: BTreeMap<TargetId, Instant>,
    /// Since when a range that a target may hold is not desired there.
    undesired_since: BTreeMap<TargetId, BTreeMap<LoadedRange, Instant>>,
}

// Commands.
impl ReconcileTable {
    /// Creates an empty table.
    pub fn new(limits: ReconcileLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Replaces the desired states at `now` and drops targets that are no longer named.
    /// `other_zones` are the engines of other zones.
    pub fn set_desired(
        &mut self,
        desired: BTreeMap<TargetId, DesiredState>,
        other_zones: BTreeMap<TargetId, DesiredState>,
        now: Instant,
    ) {
        let is_known =
            |target: &TargetId| desired.contains_key(target) || other_zones.contains_key(target);
        self.observed.retain(|target, _| is_known(target));
        self.failed_at.retain(|target, _| is_known(target));
        self.open_orders.retain(|target, _| is_known(target));
        self.undesired_since.retain(|target, _| is_known(target));
        for (target, state) in &desired {
            let since = self.undesired_since.entry(target.clone()).or_default();
            since.retain(|range, _| !state.loaded.contains(range));
            let before = self.desired.get(target);
            let dropped = before.into_iter().flat_map(|before| &before.loaded);
            for range in dropped.filter(|range| !state.loaded.contains(*range)) {
                since.insert(range.clone(), now);
            }
        }
        self.desired = desired;
        self.other_zones = other_zones;
    }

    /// Records a state read from a target; the request was sent at `requested_at`.
    pub fn observe(&mut self, target: &TargetId, state: TargetState, requested_at: Instant) {
        let known = match self.desired.get(target) {
            Some(desired) => Some(desired),
            None => self.other_zones.get(target),
        };
        let Some(desired) = known else {
            return;
        };
        let since = self.undesired_since.entry(target.clone()).or_default();
        since.retain(|range, _| state.loaded.contains(range) || state.loading.contains(range));
        let held = state.loaded.iter().chain(&state.loading);
        for range in held.filter(|range| !desired.loaded.contains(*range)) {
            since.entry(range.clone()).or_insert(requested_at);
        }
        if self
            .open_orders
            .get(target)
            .is_some_and(|order| order.sent_at <= requested_at)
        {
            self.open_orders.remove(target);
        }
        self.failed_at.remove(target);
        let observation = Observation {
            state,
            seen_at: requested_at,
        };
        self.observed.insert(target.clone(), observation);
    }

    /// Records that an order is about to be sent at `now`.
    ///
    /// The order may take effect even if its response is lost. Until the target is
    /// observed again, it may have unloaded ranges and may be loading those of the order.
    pub fn record_order(&mut self, target: &TargetId, order: &StateOrder, now: Instant) {
        let seen = self.observed.get(target);
        let is_new =
            |range: &LoadedRange| seen.is_none_or(|seen| !seen.state.loaded.contains(range));
        let open = OpenOrder {
            sent_at: now,
            loads: order.loaded.iter().any(is_new),
        };
        self.open_orders.insert(target.clone(), open);
    }

    /// Records that a request or order to the target failed at `now`.
    pub fn record_failure(&mut self, target: &TargetId, now: Instant) {
        self.failed_at.insert(target.clone(), now);
    }
}

// Queries.
impl ReconcileTable {
    /// Returns the targets whose last observed state differs from the declared one.
    pub fn differing(&self) -> Vec<TargetId> {
        self.desired
            .iter()
            .filter(|(target, desired)| match self.observed.get(*target) {
                Some(observation) => !matches(desired, &observation.state),
                None => true,
            })
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Decides for every target of the zone.
    ///
    /// Without a lease no orders are sent, but targets are still observed.
    pub fn decide(&self, lease: Option<OrderingLease>, now: Instant) -> Vec<ReconcileDecision> {
        let mut round = ReconcileRound::new(self, lease, now);
        for (target, desired) in &self.desired {
            match self.current(target, lease, now) {
                _ if self.is_backing_off(target, now) => {}
                Some(state) if !matches(desired, state) => round.plan(target, desired, state),
                Some(_) => {}
                None => round.observe(target),
            }
        }
        round.into_decisions()
    }

    pub(super) fn is_backing_off(&self, target: &TargetId, now: Instant) -> bool {
        self.failed_at.get(target).is_some_and(|failed| {
            now.saturating_duration_since(*failed) < self.limits.failure_backoff
        })
    }

    /// Returns the state of a target if it may be acted on.
    ///
    /// If a new lease holder trusted observations from before its lease, it would undo
    /// what the earlier holder ordered meanwhile, and a range would be loaded and
    /// unloaded in turn. It therefore observes again after the start of the lease, and
    /// likewise after an order whose response was lost.
    pub(super) fn current(
        &self,
        target: &TargetId,
        lease: Option<OrderingLease>,
        now: Instant,
    ) -> Option<&TargetState> {
        let seen = self.observed.get(target)?;
        let is_recent = now.saturating_duration_since(seen.seen_at) < self.limits.observe_interval;
        let seen_under_lease = lease.is_none_or(|lease| seen.seen_at >= lease.held_since);
        let has_no_open_order = !self.open_orders.contains_key(target);
        (is_recent && seen_under_lease && has_no_open_order).then_some(&seen.state)
    }

    /// Returns how many targets load weights, or may be doing so.
    pub(super) fn loads_in_progress(&self, lease: OrderingLease, now: Instant) -> usize {
        self.desired
            .keys()
            .filter(|target| self.may_be_loading(target, lease, now))
            .count()
    }

    /// Returns whether a target may be loading weights.
    ///
    /// A target that does not respond may still execute a load that this lease holder or
    /// the one before ordered. Left out of the count, it would make room for one load too
    /// many; counted for ever, it would block all others.
    fn may_be_loading(&self, target: &TargetId, lease: OrderingLease, now: Instant) -> bool {
        let is_within_timeout =
            |since: Instant| now.saturating_duration_since(since) < self.limits.load_timeout;
        match (self.open_orders.get(target), self.observed.get(target)) {
            (Some(order), _) if order.loads => is_within_timeout(order.sent_at),
            (_, Some(seen)) if seen.seen_at >= lease.held_since => {
                !seen.state.loading.is_empty() && is_within_timeout(seen.seen_at)
            }
            _ => is_within_timeout(lease.held_since),
        }
    }

    /// Returns whether a range that was being loaded when the target was last seen cannot
    /// have served a run.
    ///
    /// The load may have completed right after that observation. If the range was still
    /// desired then, runs may have begun on it, and cancelling the load would unload it
    /// under them.
    pub(super) fn was_unused(&self, target: &TargetId, range: &LoadedRange) -> bool {
        let since = self.undesired_since.get(target);
        let seen_at = self.observed.get(target).map(|seen| seen.seen_at);
        match since.and_then(|since| since.get(range)) {
            Some(since) => seen_at.is_some_and(|seen_at| seen_at > *since),
            None => true,
        }
    }

    /// Returns whether runs that began while a range was desired may still use it.
    pub(super) fn is_retained(&self, target: &TargetId, range: &LoadedRange, now: Instant) -> bool {
        let since = self.undesired_since.get(target);
        since
            .and_then(|since| since.get(range))
            .is_none_or(|since| now.saturating_duration_since(*since) < self.limits.retain_for)
    }
}

fn matches(desired: &DesiredState, state: &TargetState) -> bool {
    let held: BTreeSet<LoadedRange> = state.loaded.iter().cloned().collect();
    held == desired.loaded && state.loading.is_empty() && state.role == desired.role
}
