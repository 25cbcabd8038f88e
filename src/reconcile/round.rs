//! One round of decisions over all targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::{DesiredState, OrderingLease, ReconcileDecision, ReconcileTable, WithheldReason};
use crate::ids::{LayerIndex, ModelId, TargetId, VersionId};
use crate::resources::FencingSupport;
use crate::target::wire::{LoadedRange, StateOrder, TargetState};

/// Layers of a model version that a range serves, regardless of loaded adapters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ServedRange {
    model: ModelId,
    version: VersionId,
    first_layer: LayerIndex,
    last_layer: LayerIndex,
}

impl From<&LoadedRange> for ServedRange {
    fn from(range: &LoadedRange) -> Self {
        Self {
            model: range.model.clone(),
            version: range.version.clone(),
            first_layer: range.first_layer,
            last_layer: range.last_layer,
        }
    }
}

/// Running counts of one round, so that each order takes the earlier ones of the round
/// into account.
pub(super) struct ReconcileRound<'t> {
    table: &'t ReconcileTable,
    lease: Option<OrderingLease>,
    now: Instant,
    load_slots: usize,
    /// Targets that can be relied on to hold each range. Two targets that are ordered in
    /// the same round must not each rely on the other as the remaining holder.
    holders: BTreeMap<ServedRange, BTreeSet<TargetId>>,
    decisions: Vec<ReconcileDecision>,
}

impl<'t> ReconcileRound<'t> {
    pub(super) fn new(
        table: &'t ReconcileTable,
        lease: Option<OrderingLease>,
        now: Instant,
    ) -> Self {
        let in_progress = lease.map_or(0, |lease| table.loads_in_progress(lease, now));
        Self {
            table,
            lease,
            now,
            load_slots: table.limits.concurrent_loads.saturating_sub(in_progress),
            holders: holders(table, lease, now),
            decisions: Vec::new(),
        }
    }

    pub(super) fn into_decisions(self) -> Vec<ReconcileDecision> {
        self.decisions
    }

    /// Requests a target's state, once per round.
    pub(super) fn observe(&mut self, target: &TargetId) {
        let decision = ReconcileDecision::Observe {
            target: target.clone(),
        };
        if !self.decisions.contains(&decision) {
            self.decisions.push(decision);
        }
    }

    /// Decides about a target that differs from its desired state.
    pub(super) fn plan(&mut self, target: &TargetId, desired: &DesiredState, state: &TargetState) {
        let Some(lease) = self.lease else {
            return;
        };
        if let Some(reason) = self.withhold_reason(desired, lease) {
            return self.withhold(target, reason);
        }
        let held: BTreeSet<LoadedRange> = state.loaded.iter().cloned().collect();
        let being_loaded: BTreeSet<LoadedRange> = state.loading.iter().cloned().collect();
        let mut wanted = desired.loaded.clone();
        let mut dropped = Vec::new();
        for range in held.difference(&desired.loaded) {
            let kept = wanted.intersection(&held);
            let still_served = kept.map(ServedRange::from).any(|kept| kept == range.into());
            match self.retain_reason(target, range) {
                Some(WithheldReason::LastHolder(_)) if still_served => {}
                Some(reason) => {
                    self.withhold(target, reason);
                    wanted.insert(range.clone());
                    continue;
                }
                None if still_served => {}
                None => dropped.push(ServedRange::from(range)),
            }
        }
        for range in being_loaded.difference(&desired.loaded) {
            // The range may be loaded by the time the order arrives, and then be the only
            // copy.
            if !self.table.was_unused(target, range) || self.is_last_holder(target, &range.into()) {
                wanted.insert(range.clone());
            }
        }
        let present: BTreeSet<LoadedRange> = held.union(&being_loaded).cloned().collect();
        if wanted == present && state.role == desired.role {
            return;
        }
        // A target that is already loading is counted among the loads.
        let needs_load_slot = being_loaded.is_empty() && !wanted.is_subset(&present);
        if needs_load_slot && self.load_slots == 0 {
            return self.withhold(target, WithheldReason::LoadsBounded);
        }
        self.load_slots -= usize::from(needs_load_slot);
        for range in dropped {
            if let Some(holders) = self.holders.get_mut(&range) {
                holders.remove(target);
            }
        }
        let deadline = self.table.limits.order_deadline.as_millis();
        self.decisions.push(ReconcileDecision::Order {
            target: target.clone(),
            order: StateOrder {
                loaded: wanted.into_iter().collect(),
                role: desired.role,
                fencing: lease.fencing,
                deadline_ms: u64::try_from(deadline).unwrap_or(u64::MAX),
            },
        });
    }

    /// Returns why no order at all may be sent to this target now.
    fn withhold_reason(
        &self,
        desired: &DesiredState,
        lease: OrderingLease,
    ) -> Option<WithheldReason> {
        let deadline = self.table.limits.order_deadline;
        // A lease holder that was paused wakes up with an expired lease, and its order
        // would race the next holder's. The deadline bounds how long an order sent now
        // may take to start, so it must end before the lease.
        if self.now + deadline >= lease.held_until {
            return Some(WithheldReason::LeaseEnding);
        }
        // A target without fencing executes an earlier lease holder's order that is still
        // in transit. Waiting for the longest order deadline rules that out.
        let waited = self.now.saturating_duration_since(lease.held_since);
        match desired.fencing {
            FencingSupport::Ignores if waited < deadline => Some(WithheldReason::EarlierHolder),
            _ => None,
        }
    }

    /// Returns why a target must keep a range that is not desired there.
    fn retain_reason(&mut self, target: &TargetId, range: &LoadedRange) -> Option<WithheldReason> {
        if self.table.is_retained(target, range, self.now) {
            return Some(WithheldReason::Retained(range.clone()));
        }
        let served = ServedRange::from(range);
        if !self.is_last_holder(target, &served) {
            return None;
        }
        // Unloading the last holder of a range that a pipeline still names would refuse
        // every request on it until another target has loaded the weights.
        self.observe_other_zones(&served);
        Some(WithheldReason::LastHolder(range.clone()))
    }

    /// Returns whether a range is desired and no other target is known to hold it.
    fn is_last_holder(&self, target: &TargetId, served: &ServedRange) -> bool {
        let holders = self.holders.get(served);
        let has_others =
            holders.is_some_and(|holders| holders.iter().any(|holder| holder != target));
        !has_others && self.is_wanted(served)
    }

    fn is_wanted(&self, served: &ServedRange) -> bool {
        let table = self.table;
        let mut desired = table.desired.values().chain(table.other_zones.values());
        desired.any(|state| serves(state, served))
    }

    /// Requests the states of other zones' engines, but only of those that matter for
    /// `served`.
    fn observe_other_zones(&mut self, served: &ServedRange) {
        let table = self.table;
        for (target, state) in &table.other_zones {
            let is_known = table.current(target, self.lease, self.now).is_some();
            if serves(state, served) && !is_known && !table.is_backing_off(target, self.now) {
                self.observe(target);
            }
        }
    }

    fn withhold(&mut self, target: &TargetId, reason: WithheldReason) {
        self.decisions.push(ReconcileDecision::Withhold {
            target: target.clone(),
            reason,
        });
    }
}

fn serves(state: &DesiredState, served: &ServedRange) -> bool {
    let mut ranges = state.loaded.iter().map(ServedRange::from);
    ranges.any(|range| range == *served)
}

/// Returns the targets that hold a range and accept new work, as far as is known now. A
/// target without a recent response is left out.
fn holders(
    table: &ReconcileTable,
    lease: Option<OrderingLease>,
    now: Instant,
) -> BTreeMap<ServedRange, BTreeSet<TargetId>> {
    let mut holders: BTreeMap<ServedRange, BTreeSet<TargetId>> = BTreeMap::new();
    for target in table.desired.keys().chain(table.other_zones.keys()) {
        let current = table.current(target, lease, now);
        let Some(state) = current.filter(|state| !state.leaving) else {
            continue;
        };
        for range in &state.loaded {
            let holders = holders.entry(range.into()).or_default();
            holders.insert(target.clone());
        }
    }
    holders
}
